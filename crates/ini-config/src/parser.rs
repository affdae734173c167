//! Parses a settings file and checks its sections, keys and values against a schema.

use crate::file_values::{FileValues, SourceValue};
use crate::line_index::LineIndex;
use crate::problem::{Problem, ProblemKind, Problems};
use crate::schema::{Schema, Section};
use crate::suggestion::Suggestion;
use std::collections::{BTreeMap, BTreeSet};

/// Parses `text`, the content of `file`.
///
/// A syntax error is reported alone; otherwise, all violations of the schema are reported together.
pub(crate) fn parse(schema: &Schema, file: &str, text: &str) -> Result<FileValues, Problems> {
    let ini = ini::Ini::load_from_str(text).map_err(|error| {
        Problems(vec![Problem {
            file: file.into(),
            line: Some(error.line),
            kind: ProblemKind::InvalidSyntax(error.msg.to_string()),
        }])
    })?;
    let mut parser = Parser {
        schema,
        file,
        lines: LineIndex::new(text),
        seen_headers: BTreeSet::new(),
        values: FileValues::default(),
        problems: Vec::new(),
    };
    for (header, properties) in &ini {
        parser.parse_section(header.unwrap_or_default().trim(), properties);
    }
    parser.finish()
}

/// State of parsing one file.
struct Parser<'a> {
    schema: &'a Schema,
    file: &'a str,
    lines: LineIndex,
    /// Headers that have occurred so far, without the brackets.
    seen_headers: BTreeSet<String>,
    values: FileValues,
    problems: Vec<Problem>,
}

/// A section of the file with its schema.
struct ResolvedSection<'a> {
    /// Header without the brackets.
    header: &'a str,
    /// Name in the header `[section NAME]`; empty for `[section]`.
    name: &'a str,
    schema: &'static Section,
}

impl Parser<'_> {
    fn parse_section(&mut self, header: &str, properties: &ini::Properties) {
        if header.is_empty() {
            self.report_keys_outside_sections(properties);
            return;
        }
        if !self.seen_headers.insert(header.to_string()) {
            let kind = ProblemKind::DuplicateSection {
                header: header.into(),
            };
            self.report(self.lines.section_line(header, 1), kind);
            return;
        }
        let line = self.lines.section_line(header, 0);
        let section = match self.resolve_section(header) {
            Ok(section) => section,
            Err(kind) => return self.report(line, kind),
        };
        if section.schema.is_named {
            let line = line.unwrap_or_default();
            self.values
                .insert_named_section(section.schema.name, section.name, line);
        }
        let mut occurrences: BTreeMap<&str, usize> = BTreeMap::new();
        for (key, text) in properties {
            let occurrence = occurrences.entry(key).or_default();
            self.parse_property(&section, key, text, *occurrence);
            *occurrence += 1;
        }
    }

    fn report_keys_outside_sections(&mut self, properties: &ini::Properties) {
        for (key, _) in properties {
            let kind = ProblemKind::KeyOutsideSection { key: key.into() };
            self.report(self.lines.key_line("", key, 0), kind);
        }
    }

    /// Splits a header into section and name, and looks up the schema of the section.
    fn resolve_section<'h>(&self, header: &'h str) -> Result<ResolvedSection<'h>, ProblemKind> {
        let (section_name, name) = header
            .split_once(char::is_whitespace)
            .unwrap_or((header, ""));
        let name = name.trim().trim_matches('"');
        let Some(schema) = self.schema.section(section_name) else {
            let valid = self.schema.0.iter().map(|section| section.name);
            return Err(ProblemKind::UnknownSection {
                section: section_name.into(),
                suggestion: Suggestion::for_name(section_name, valid),
            });
        };
        if schema.is_named == name.is_empty() {
            return Err(ProblemKind::InvalidHeader {
                header: header.into(),
                section: section_name.into(),
                is_named: schema.is_named,
            });
        }
        Ok(ResolvedSection {
            header,
            name,
            schema,
        })
    }

    fn parse_property(
        &mut self,
        section: &ResolvedSection<'_>,
        key: &str,
        text: &str,
        occurrence: usize,
    ) {
        let line = self.lines.key_line(section.header, key, occurrence);
        let header = section.header.to_string();
        if occurrence > 0 {
            let key = key.into();
            return self.report(line, ProblemKind::DuplicateKey { header, key });
        }
        let Some(key_schema) = section.schema.key(key) else {
            let valid = section.schema.keys.iter().map(|key| key.name);
            let kind = ProblemKind::UnknownKey {
                header,
                key: key.into(),
                suggestion: Suggestion::for_name(key, valid),
            };
            return self.report(line, kind);
        };
        if let Err(source) = key_schema.kind.check(text) {
            let kind = ProblemKind::InvalidValue {
                header,
                key: key.into(),
                value: text.into(),
                source,
            };
            return self.report(line, kind);
        }
        let value = SourceValue {
            text: text.trim().to_string(),
            line: line.unwrap_or_default(),
        };
        self.values
            .insert(section.schema.name, section.name, key_schema.name, value);
    }

    fn report(&mut self, line: Option<usize>, kind: ProblemKind) {
        self.problems.push(Problem {
            file: self.file.into(),
            line,
            kind,
        });
    }

    /// Returns the values, or all problems in the order of their lines.
    fn finish(mut self) -> Result<FileValues, Problems> {
        if self.problems.is_empty() {
            return Ok(self.values);
        }
        self.problems.sort_by_key(|problem| problem.line);
        Err(Problems(self.problems))
    }
}
