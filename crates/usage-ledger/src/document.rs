//! Documents: the statements, credits and debits that a tenant receives. The id of a document never
//! changes.
//!
//! Documents are stored and exported as JSON. The names and the order of the fields are part of
//! this format.

use crate::period::Period;
use crate::statement::{CorrectionLine, Statement, StatementLine, TenantTotal};
use serde::{Deserialize, Serialize};

/// A document for one tenant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Document {
    /// Permanent id of the document.
    pub id: String,
    /// Kind of the document: statement, credit or debit.
    pub kind: DocumentKind,
    /// Name of the tenant that receives the document.
    pub tenant: String,
    /// Name of the period of the statement or, for a credit or debit, of the corrected statement.
    pub period: String,
    /// Amount to be billed, in micro-units; negative for a credit.
    pub amount: i64,
    /// Lines of the statement for the tenant; empty for a credit or debit.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub lines: Vec<StatementLine>,
    /// Corrections of the statement for the tenant or, for a credit or debit, the one that it
    /// bills.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub corrections: Vec<CorrectionLine>,
    /// Totals of the statement for the tenant; `None` for a credit or debit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub totals: Option<TenantTotal>,
    /// Names of the members whose records were missing when the period closed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub missing: Vec<String>,
    /// Statement that a credit or debit corrects; `None` for a statement.
    #[serde(rename = "corrects", default, skip_serializing_if = "Option::is_none")]
    pub corrected_statement: Option<CorrectedStatement>,
}

/// Kind of a document.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum DocumentKind {
    /// Part of a statement that concerns one tenant.
    Statement,
    /// Correction of a closed period with a negative amount, in favour of the tenant.
    Credit,
    /// Correction of a closed period with an amount of zero or more.
    Debit,
}

impl DocumentKind {
    /// Returns the published name of the kind, which is used in JSON and in the ids of documents.
    pub fn as_str(self) -> &'static str {
        match self {
            DocumentKind::Statement => "statement",
            DocumentKind::Credit => "credit",
            DocumentKind::Debit => "debit",
        }
    }
}

/// Reference to the statement that a credit or debit corrects. Encoded as a pair in JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(String, String)", into = "(String, String)")]
pub struct CorrectedStatement {
    /// Id of the document that the tenant received for the statement.
    pub document_id: String,
    /// SHA-256 of the statement, in hexadecimal.
    pub hash: String,
}

impl From<(String, String)> for CorrectedStatement {
    fn from((document_id, hash): (String, String)) -> CorrectedStatement {
        CorrectedStatement { document_id, hash }
    }
}

impl From<CorrectedStatement> for (String, String) {
    fn from(corrected: CorrectedStatement) -> (String, String) {
        (corrected.document_id, corrected.hash)
    }
}

/// A document in the outbox, with the state of its delivery.
#[derive(Clone, Debug, PartialEq)]
pub struct OutgoingDocument {
    /// Permanent id of the document.
    pub id: String,
    /// Document as JSON text.
    pub body: String,
    /// Whether the document has been written to the export folder.
    pub is_in_folder: bool,
    /// Whether the receiver has acknowledged the document.
    pub is_posted: bool,
    /// Number of attempts to send the document.
    pub attempts: u32,
    /// Error of the last attempt; `None` if it succeeded or there was none.
    pub error: Option<String>,
}

impl Document {
    /// Returns the documents of a statement, one per tenant.
    pub fn of_statement(statement: &Statement) -> Vec<Document> {
        let documents = statement.tenants.iter();
        documents
            .map(|totals| Document::of_tenant(statement, totals))
            .collect()
    }

    fn of_tenant(statement: &Statement, totals: &TenantTotal) -> Document {
        let tenant = &totals.tenant;
        let lines = statement.lines.iter();
        let corrections = statement.corrections.iter();
        let missing = statement.members.iter().filter(|member| member.is_missing);
        Document {
            id: statement_id(&statement.period, tenant),
            kind: DocumentKind::Statement,
            tenant: tenant.clone(),
            period: statement.period.clone(),
            amount: totals.amount,
            lines: lines
                .filter(|line| line.tenant == *tenant)
                .cloned()
                .collect(),
            corrections: corrections
                .filter(|correction| correction.tenant == *tenant)
                .cloned()
                .collect(),
            totals: Some(totals.clone()),
            missing: missing.map(|member| member.member.clone()).collect(),
            corrected_statement: None,
        }
    }

    /// Returns the credit or debit for a correction of a closed period; `hash` is the hash of that
    /// period's statement.
    pub fn of_correction(correction: &CorrectionLine, period: Period, hash: &str) -> Document {
        let kind = if correction.amount < 0 {
            DocumentKind::Credit
        } else {
            DocumentKind::Debit
        };
        Document {
            id: document_id(kind, &correction.id),
            kind,
            tenant: correction.tenant.clone(),
            period: period.name(),
            amount: correction.amount,
            lines: Vec::new(),
            corrections: vec![correction.clone()],
            totals: None,
            missing: Vec::new(),
            corrected_statement: Some(CorrectedStatement {
                document_id: statement_id(&period.name(), &correction.tenant),
                hash: hash.into(),
            }),
        }
    }
}

fn statement_id(period: &str, tenant: &str) -> String {
    let period = period.replace(':', "");
    document_id(DocumentKind::Statement, &format!("{period}-{tenant}"))
}

/// Returns the id of a document, which is also the stem of its file name.
fn document_id(kind: DocumentKind, name: &str) -> String {
    format!("{}-{}", kind.as_str(), escape_for_file_name(name))
}

/// Replaces each character of `text`, except for ASCII letters, digits, `-`, `_` and `.`, with `%`
/// and its code point in hexadecimal.
fn escape_for_file_name(text: &str) -> String {
    let escape = |character: char| {
        if character.is_ascii_alphanumeric() || "-_.".contains(character) {
            character.to_string()
        } else {
            format!("%{:x}", u32::from(character))
        }
    };
    text.chars().map(escape).collect()
}
