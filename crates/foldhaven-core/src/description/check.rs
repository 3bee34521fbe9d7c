//! Parses a description from YAML and validates it as a whole.

use std::collections::BTreeSet;
use std::fmt::Display;

use super::model::{ClassConfig, ClassKind, Description};

/// Maximum size of a description that the platform can store, in bytes.
pub const MAX_DESCRIPTION_BYTES: usize = 1 << 20;

/// A fault in a description, with its location.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum CheckFault {
    /// {file}: {message}
    Syntax {
        /// The file name given by the operator.
        file: String,
        /// The position and the expected content.
        message: String,
    },
    /// {file}:{line}: {field}: {message}
    Field {
        /// The file name given by the operator.
        file: String,
        /// The line number, counted from 1, or 0 if unknown.
        line: usize,
        /// The path of the field.
        field: String,
        /// The expected and the actual value.
        message: String,
    },
    /// {file}: a description holds at most {max} bytes, got {got}
    Oversize {
        /// The file name given by the operator.
        file: String,
        /// The maximum size in bytes.
        max: usize,
        /// The actual size in bytes.
        got: usize,
    },
}

/// Parses a description from YAML text and validates it as a whole.
///
/// `file` is the file name used in faults.
///
/// # Errors
///
/// Returns all faults found. Text that is not valid YAML, or does not match the schema, gives a
/// single fault.
pub fn parse_description(file: &str, text: &str) -> Result<Description, Vec<CheckFault>> {
    if text.len() > MAX_DESCRIPTION_BYTES {
        let fault = CheckFault::Oversize {
            file: file.to_owned(),
            max: MAX_DESCRIPTION_BYTES,
            got: text.len(),
        };
        return Err(vec![fault]);
    }
    let description: Description = serde_saphyr::from_str(text).map_err(|error| {
        vec![CheckFault::Syntax { file: file.to_owned(), message: error.to_string() }]
    })?;
    let mut faults = check_description(&description);
    if faults.is_empty() {
        return Ok(description);
    }
    for fault in &mut faults {
        locate_fault(fault, file, text);
    }
    Err(faults)
}

/// Checks the references and values of a parsed description.
///
/// The faults contain no file name or line; [`parse_description`] adds these.
pub fn check_description(description: &Description) -> Vec<CheckFault> {
    let mut checker = DescriptionChecker::new(description);
    checker.check_names();
    checker.check_objective();
    checker.check_models();
    checker.check_residency();
    checker.check_classes();
    checker.check_accounts();
    checker.faults
}

struct DescriptionChecker<'a> {
    description: &'a Description,
    regions: BTreeSet<&'a str>,
    data_centres: BTreeSet<&'a str>,
    models: BTreeSet<&'a str>,
    services: BTreeSet<&'a str>,
    rules: BTreeSet<&'a str>,
    faults: Vec<CheckFault>,
}

impl<'a> DescriptionChecker<'a> {
    fn new(description: &'a Description) -> Self {
        let regions = &description.regions;
        Self {
            description,
            regions: regions.iter().map(|region| region.name.as_str()).collect(),
            data_centres: regions
                .iter()
                .flat_map(|region| &region.data_centres)
                .map(|name| name.as_str())
                .collect(),
            models: description.models.iter().map(|model| model.name.as_str()).collect(),
            services: description.services.iter().map(|service| service.name.as_str()).collect(),
            rules: description.residency.iter().map(|rule| rule.name.as_str()).collect(),
            faults: Vec::new(),
        }
    }

    fn add_fault(&mut self, field: impl Into<String>, message: impl Into<String>) {
        self.faults.push(CheckFault::Field {
            file: String::new(),
            line: 0,
            field: field.into(),
            message: message.into(),
        });
    }

    fn check_names(&mut self) {
        let description = self.description;
        self.check_unique("regions", description.regions.iter().map(|item| &item.name));
        let centres = description.regions.iter().flat_map(|region| &region.data_centres);
        self.check_unique("data_centres", centres);
        self.check_unique("models", description.models.iter().map(|item| &item.name));
        self.check_unique("services", description.services.iter().map(|item| &item.name));
        self.check_unique("residency", description.residency.iter().map(|item| &item.name));
        self.check_unique("classes", description.classes.iter().map(|item| &item.name));
        self.check_unique("accounts", description.accounts.iter().map(|item| &item.name));
        if description.regions.is_empty() {
            self.add_fault("regions", "expected at least one region");
        }
        for region in &description.regions {
            if region.data_centres.is_empty() {
                let field = format!("regions[{}].data_centres", region.name);
                self.add_fault(field, "expected at least one data centre");
            }
        }
    }

    fn check_unique<T: Display>(&mut self, field: &str, names: impl Iterator<Item = T>) {
        let mut seen = BTreeSet::new();
        for name in names.map(|name| name.to_string()) {
            if seen.contains(&name) {
                self.add_fault(
                    format!("{field}[{name}]"),
                    "expected the name once, found it again",
                );
            }
            seen.insert(name);
        }
    }

    fn check_objective(&mut self) {
        let objective = &self.description.objective;
        let weights = [
            ("objective.lateness", objective.lateness),
            ("objective.away", objective.away),
            ("objective.cost", objective.cost),
        ];
        for (field, weight) in weights {
            self.check_number(field, weight);
        }
    }

    fn check_number(&mut self, field: &str, value: f64) {
        if !value.is_finite() || value < 0.0 {
            self.add_fault(field, format!("expected a number of at least zero, got {value}"));
        }
    }

    fn check_models(&mut self) {
        let description = self.description;
        for model in &description.models {
            if model.slots == 0 {
                let field = format!("models[{}].slots", model.name);
                self.add_fault(field, "expected at least one slot, got 0");
            }
        }
        for deployment in &description.deployments {
            let field = format!("deployments[{}]", deployment.model);
            self.check_known(&field, "model", deployment.model.as_str(), |it| &it.models);
            let centre = deployment.data_centre.as_str();
            self.check_known(&field, "data_centre", centre, |it| &it.data_centres);
        }
    }

    fn check_known(
        &mut self,
        path: &str,
        field: &str,
        name: &str,
        known_names: impl Fn(&Self) -> &BTreeSet<&'a str>,
    ) {
        if known_names(self).contains(name) {
            return;
        }
        let names: Vec<&str> = known_names(self).iter().copied().take(8).collect();
        let expected = names.join(", ");
        self.add_fault(
            format!("{path}.{field}"),
            format!("expected one of {expected}, got {name}"),
        );
    }

    fn check_residency(&mut self) {
        for rule in &self.description.residency {
            let path = format!("residency[{}]", rule.name);
            if rule.regions.is_empty() && !rule.home {
                self.add_fault(format!("{path}.regions"), "expected a region, or `home: true`");
            }
            for region in &rule.regions {
                self.check_known(&path, "regions", region.as_str(), |it| &it.regions);
            }
        }
    }

    fn check_classes(&mut self) {
        for class in &self.description.classes {
            let path = format!("classes[{}]", class.name);
            self.check_known(&path, "residency", class.residency.as_str(), |it| &it.rules);
            self.check_number(&format!("{path}.worth"), class.worth);
            self.check_class_target(&path, class);
            if class.deadline.0.is_zero() || class.deadline > self.description.limits.deadline {
                let limit = self.description.limits.deadline;
                let message = format!("expected 1ms to {limit}, got {}", class.deadline);
                self.add_fault(format!("{path}.deadline"), message);
            }
        }
    }

    fn check_class_target(&mut self, path: &str, class: &ClassConfig) {
        match (class.kind, &class.model, &class.service) {
            (ClassKind::Model, Some(model), None) => {
                self.check_known(path, "model", model.as_str(), |it| &it.models);
                if class.max_output_tokens == 0 {
                    let field = format!("{path}.max_output_tokens");
                    self.add_fault(field, "expected at least one token, got 0");
                }
                if !class.repeatable {
                    let field = format!("{path}.repeatable");
                    self.add_fault(field, "expected true for a class of kind model, got false");
                }
            }
            (ClassKind::Service, None, Some(service)) => {
                self.check_known(path, "service", service.as_str(), |it| &it.services);
            }
            (ClassKind::Model, ..) => {
                self.add_fault(format!("{path}.model"), "expected `model` and no `service`");
            }
            (ClassKind::Service, ..) => {
                self.add_fault(format!("{path}.service"), "expected `service` and no `model`");
            }
        }
    }

    fn check_accounts(&mut self) {
        for account in &self.description.accounts {
            let path = format!("accounts[{}]", account.name);
            self.check_known(&path, "home", account.home.as_str(), |it| &it.regions);
            if let Some(rule) = &account.residency {
                self.check_known(&path, "residency", rule.as_str(), |it| &it.rules);
            }
            self.check_number(&format!("{path}.share"), account.share);
        }
    }
}

/// Sets the file name and the line of a fault.
fn locate_fault(fault: &mut CheckFault, file_name: &str, text: &str) {
    if let CheckFault::Field { file, line, field, .. } = fault {
        *file = file_name.to_owned();
        *line = find_line(field, text);
    }
}

/// Returns the line of `section[name].field`, counted from 1. If the text search does not find the
/// field, it returns the line of the item or the section, or 0 if there is none.
fn find_line(field: &str, text: &str) -> usize {
    let section = field.split(['[', '.']).next().unwrap_or(field);
    let name = field.split_once('[').and_then(|(_, rest)| rest.split_once(']'));
    let leaf = field.rsplit_once('.').map(|(_, leaf)| leaf);
    let lines: Vec<&str> = text.lines().collect();
    let start = lines.iter().position(|line| line.starts_with(&format!("{section}:")));
    let Some(mut at) = start else { return 0 };
    let mut end = block_end(&lines, at, |line| !line.starts_with([' ', '#']));
    if let Some((name, _)) = name {
        let names_item =
            |line: &&str| has_value(line, "name", name) || has_value(line, "model", name);
        at += lines[at..end].iter().position(names_item).unwrap_or(0);
        end = block_end(&lines, at, |line| line.trim_start().starts_with("- "));
    }
    if let Some(leaf) = leaf {
        let has_leaf = |line: &&str| line.contains(&format!("{leaf}:"));
        at += lines[at..end].iter().position(has_leaf).unwrap_or(0);
    }
    at + 1
}

/// Returns the index of the first line after `at` that begins another block, or the number of lines
/// if there is none.
fn block_end(lines: &[&str], at: usize, begins_block: impl Fn(&str) -> bool) -> usize {
    let rest = lines[at + 1..].iter().position(|line| !line.is_empty() && begins_block(line));
    rest.map_or(lines.len(), |length| at + 1 + length)
}

/// Returns whether a line assigns the value `name` to `key`.
fn has_value(line: &str, key: &str, name: &str) -> bool {
    let Some((_, value)) = line.split_once(&format!("{key}: ")) else { return false };
    let rest = value.trim_start_matches('"').strip_prefix(name);
    rest.is_some_and(|rest| !rest.starts_with(|c: char| c.is_alphanumeric() || "-_.".contains(c)))
}
