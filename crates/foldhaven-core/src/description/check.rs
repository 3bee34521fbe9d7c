//! Reads a description from YAML and checks it as a whole.

use std::collections::BTreeSet;
use std::fmt::Display;

use super::model::{ClassConfig, ClassKind, Description};

/// The largest description that the platform can hold, in bytes.
pub const MAX_DESCRIPTION_BYTES: usize = 1 << 20;

/// One fault in a description, with the place where it stands.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum CheckFault {
    /// {file}: {message}
    Syntax {
        /// The file, as the operator named it.
        file: String,
        /// Line, column and what was expected.
        message: String,
    },
    /// {file}:{line}: {field}: {message}
    Field {
        /// The file, as the operator named it.
        file: String,
        /// The line on which the part stands, counted from 1; 0 when it is not known.
        line: usize,
        /// The path of the field.
        field: String,
        /// What was expected, and what was found.
        message: String,
    },
    /// {file}: a description holds at most {max} bytes, got {got}
    Oversize {
        /// The file, as the operator named it.
        file: String,
        /// The limit in bytes.
        max: usize,
        /// The size found in bytes.
        got: usize,
    },
}

/// Reads a description from YAML text and checks it as a whole.
///
/// `file` is the name used in faults.
///
/// # Errors
///
/// All faults found, at least one. A text that is not YAML of the right shape gives one fault.
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

/// Checks the references and values of a description that already has the right shape.
///
/// Faults name no file and no line; [`parse_description`] adds them.
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

    fn fault(&mut self, field: impl Into<String>, message: impl Into<String>) {
        self.faults.push(CheckFault::Field {
            file: String::new(),
            line: 0,
            field: field.into(),
            message: message.into(),
        });
    }

    fn check_names(&mut self) {
        let description = self.description;
        self.check_unique("regions", description.regions.iter().map(|part| &part.name));
        let centres = description.regions.iter().flat_map(|region| &region.data_centres);
        self.check_unique("data_centres", centres);
        self.check_unique("models", description.models.iter().map(|part| &part.name));
        self.check_unique("services", description.services.iter().map(|part| &part.name));
        self.check_unique("residency", description.residency.iter().map(|part| &part.name));
        self.check_unique("classes", description.classes.iter().map(|part| &part.name));
        self.check_unique("accounts", description.accounts.iter().map(|part| &part.name));
        if description.regions.is_empty() {
            self.fault("regions", "expected at least one region");
        }
        for region in &description.regions {
            if region.data_centres.is_empty() {
                let field = format!("regions[{}].data_centres", region.name);
                self.fault(field, "expected at least one data centre");
            }
        }
    }

    fn check_unique<T: Display>(&mut self, field: &str, names: impl Iterator<Item = T>) {
        let mut seen = BTreeSet::new();
        for name in names.map(|name| name.to_string()) {
            if seen.contains(&name) {
                self.fault(format!("{field}[{name}]"), "expected the name once, found it again");
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
            self.fault(field, format!("expected a number of at least zero, got {value}"));
        }
    }

    fn check_models(&mut self) {
        let description = self.description;
        for model in &description.models {
            if model.slots == 0 {
                let field = format!("models[{}].slots", model.name);
                self.fault(field, "expected at least one slot, got 0");
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
        part: &str,
        field: &str,
        name: &str,
        known: impl Fn(&Self) -> &BTreeSet<&'a str>,
    ) {
        if known(self).contains(name) {
            return;
        }
        let names: Vec<&str> = known(self).iter().copied().take(8).collect();
        let expected = names.join(", ");
        self.fault(format!("{part}.{field}"), format!("expected one of {expected}, got {name}"));
    }

    fn check_residency(&mut self) {
        for rule in &self.description.residency {
            let part = format!("residency[{}]", rule.name);
            if rule.regions.is_empty() && !rule.home {
                self.fault(format!("{part}.regions"), "expected a region, or `home: true`");
            }
            for region in &rule.regions {
                self.check_known(&part, "regions", region.as_str(), |it| &it.regions);
            }
        }
    }

    fn check_classes(&mut self) {
        for class in &self.description.classes {
            let part = format!("classes[{}]", class.name);
            self.check_known(&part, "residency", class.residency.as_str(), |it| &it.rules);
            self.check_number(&format!("{part}.worth"), class.worth);
            self.check_class_target(&part, class);
            if class.deadline.0.is_zero() || class.deadline > self.description.limits.deadline {
                let limit = self.description.limits.deadline;
                let message = format!("expected 1ms to {limit}, got {}", class.deadline);
                self.fault(format!("{part}.deadline"), message);
            }
        }
    }

    fn check_class_target(&mut self, part: &str, class: &ClassConfig) {
        match (class.kind, &class.model, &class.service) {
            (ClassKind::Model, Some(model), None) => {
                self.check_known(part, "model", model.as_str(), |it| &it.models);
                if class.max_output_tokens == 0 {
                    let field = format!("{part}.max_output_tokens");
                    self.fault(field, "expected at least one token, got 0");
                }
                if !class.repeatable {
                    let field = format!("{part}.repeatable");
                    self.fault(field, "expected true for a class of kind model, got false");
                }
            }
            (ClassKind::Service, None, Some(service)) => {
                self.check_known(part, "service", service.as_str(), |it| &it.services);
            }
            (ClassKind::Model, ..) => {
                self.fault(format!("{part}.model"), "expected `model` and no `service`");
            }
            (ClassKind::Service, ..) => {
                self.fault(format!("{part}.service"), "expected `service` and no `model`");
            }
        }
    }

    fn check_accounts(&mut self) {
        for account in &self.description.accounts {
            let part = format!("accounts[{}]", account.name);
            self.check_known(&part, "home", account.home.as_str(), |it| &it.regions);
            if let Some(rule) = &account.residency {
                self.check_known(&part, "residency", rule.as_str(), |it| &it.rules);
            }
            self.check_number(&format!("{part}.share"), account.share);
        }
    }
}

/// Adds the file and the line of the named part to a fault.
fn locate_fault(fault: &mut CheckFault, in_file: &str, text: &str) {
    if let CheckFault::Field { file, line, field, .. } = fault {
        *file = in_file.to_owned();
        *line = find_line(field, text);
    }
}

/// Finds the line of `section[name].field`, as far as the text shows it.
fn find_line(field: &str, text: &str) -> usize {
    let section = field.split(['[', '.']).next().unwrap_or(field);
    let name = field.split_once('[').and_then(|(_, rest)| rest.split_once(']'));
    let leaf = field.rsplit_once('.').map(|(_, leaf)| leaf);
    let lines: Vec<&str> = text.lines().collect();
    let start = lines.iter().position(|line| line.starts_with(&format!("{section}:")));
    let Some(mut at) = start else { return 0 };
    let mut end = block_end(&lines, at, |line| !line.starts_with([' ', '#']));
    if let Some((name, _)) = name {
        let named = |line: &&str| names_part(line, "name", name) || names_part(line, "model", name);
        at += lines[at..end].iter().position(named).unwrap_or(0);
        end = block_end(&lines, at, |line| line.trim_start().starts_with("- "));
    }
    if let Some(leaf) = leaf {
        let has_leaf = |line: &&str| line.contains(&format!("{leaf}:"));
        at += lines[at..end].iter().position(has_leaf).unwrap_or(0);
    }
    at + 1
}

/// The first line after `at` that begins something else.
fn block_end(lines: &[&str], at: usize, begins: impl Fn(&str) -> bool) -> usize {
    let rest = lines[at + 1..].iter().position(|line| !line.is_empty() && begins(line));
    rest.map_or(lines.len(), |length| at + 1 + length)
}

/// Whether a line gives `key` the value `name`.
fn names_part(line: &str, key: &str, name: &str) -> bool {
    let Some((_, value)) = line.split_once(&format!("{key}: ")) else { return false };
    let rest = value.trim_start_matches('"').strip_prefix(name);
    rest.is_some_and(|rest| !rest.starts_with(|c: char| c.is_alphanumeric() || "-_.".contains(c)))
}
