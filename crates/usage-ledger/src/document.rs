//! Documents: what a tenant receives. Each has an id that never changes.
//!
//! Documents are exported as JSON; the names and the order of the fields are part of that format.

use crate::period::Period;
use crate::statement::{CorrectionLine, Statement, StatementLine, TenantTotal};
use serde::{Deserialize, Serialize};

/// A document for one tenant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Document {
    /// The permanent id of the document.
    pub id: String,
    /// What kind of document it is.
    pub kind: DocumentKind,
    /// The tenant's name.
    pub tenant: String,
    /// The period of the statement, or of the statement that is corrected.
    pub period: String,
    /// Micro-units; negative for a credit.
    pub amount: i64,
    /// The statement's lines for the tenant.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub lines: Vec<StatementLine>,
    /// The corrections for the tenant.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub corrections: Vec<CorrectionLine>,
    /// The statement's totals for the tenant.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub totals: Option<TenantTotal>,
    /// The members whose records were missing, by name.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub missing: Vec<String>,
    /// The statement that a credit or debit corrects.
    #[serde(rename = "corrects", default, skip_serializing_if = "Option::is_none")]
    pub corrected_statement: Option<CorrectedStatement>,
}

/// The kinds of documents.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum DocumentKind {
    /// The part of a statement that concerns the tenant.
    Statement,
    /// A correction in favour of the tenant.
    Credit,
    /// Any other correction.
    Debit,
}

impl DocumentKind {
    /// The published name, in JSON and in ids.
    pub fn as_str(self) -> &'static str {
        match self {
            DocumentKind::Statement => "statement",
            DocumentKind::Credit => "credit",
            DocumentKind::Debit => "debit",
        }
    }
}

/// The statement that a credit or debit corrects; in JSON a pair.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(String, String)", into = "(String, String)")]
pub struct CorrectedStatement {
    /// Id of the statement's document for the tenant.
    pub document_id: String,
    /// The statement's hash.
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

/// A document in the outbox.
#[derive(Clone, Debug, PartialEq)]
pub struct OutgoingDocument {
    /// The document's id.
    pub id: String,
    /// The document as JSON.
    pub body: String,
    /// Whether it is in the export folder.
    pub in_folder: bool,
    /// Whether the receiver has acknowledged it.
    pub posted: bool,
    /// The number of attempts to send it.
    pub attempts: u32,
    /// The error of the last attempt; `None` if it succeeded.
    pub error: Option<String>,
}

impl Document {
    /// The documents of a statement, one per tenant.
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

    /// The credit or debit for a correction of a closed period, whose statement has this hash.
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

/// The id of a document, which is also the name of its file.
fn document_id(kind: DocumentKind, name: &str) -> String {
    format!("{}-{}", kind.as_str(), file_name_part(name))
}

/// `text` with all characters escaped that are not allowed in file names.
fn file_name_part(text: &str) -> String {
    let escape = |character: char| {
        if character.is_ascii_alphanumeric() || "-_.".contains(character) {
            character.to_string()
        } else {
            format!("%{:x}", u32::from(character))
        }
    };
    text.chars().map(escape).collect()
}
