//! Lookup tables for a description, built once when it is adopted.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::model::{
    AccountConfig, ClassConfig, ClassKind, DeploymentConfig, Description, ModelConfig, RegionConfig,
};
use super::sections::{SectionManifest, SectionSet, SectionsError};
use super::stamp::DescriptionStamp;
use crate::ids::{AccountName, ClassName, DataCentreName, ModelName, RegionName, RuleName};
use crate::residency::ResidencyRule;

/// A description with its stamp, sections and lookup tables.
#[derive(Debug)]
pub struct DescriptionIndex {
    /// The description itself.
    pub description: Description,
    /// The description's stamp.
    pub stamp: DescriptionStamp,
    /// The manifest of the description's sections.
    pub manifest: SectionManifest,
    /// The contents of the sections.
    pub sections: SectionSet,
    accounts: BTreeMap<AccountName, usize>,
    classes: BTreeMap<ClassName, usize>,
    models: BTreeMap<ModelName, usize>,
    regions: BTreeMap<DataCentreName, RegionName>,
    rules: BTreeMap<RuleName, ResidencyRule>,
}

impl DescriptionIndex {
    /// Indexes a description that was validated before.
    pub fn new(description: Description) -> Arc<Self> {
        let (manifest, sections) = SectionSet::split(&description);
        Self::with_sections(description, manifest, sections)
    }

    /// Assembles a description from sections fetched from the platform or a peer and indexes it.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`SectionSet::join`].
    pub fn from_sections(
        manifest: SectionManifest,
        mut sections: SectionSet,
    ) -> Result<Arc<Self>, SectionsError> {
        let description = sections.join(&manifest)?;
        sections.retain(&manifest);
        Ok(Self::with_sections(description, manifest, sections))
    }

    fn with_sections(
        description: Description,
        manifest: SectionManifest,
        sections: SectionSet,
    ) -> Arc<Self> {
        let accounts = description.accounts.iter().enumerate();
        let accounts = accounts.map(|(at, account)| (account.name.clone(), at)).collect();
        let classes = description.classes.iter().enumerate();
        let classes = classes.map(|(at, class)| (class.name.clone(), at)).collect();
        let models = description.models.iter().enumerate();
        let models = models.map(|(at, model)| (model.name.clone(), at)).collect();
        let regions = description
            .regions
            .iter()
            .flat_map(|region| region.data_centres.iter().map(|it| (it, &region.name)))
            .map(|(centre, region)| (centre.clone(), region.clone()))
            .collect();
        let rules = description
            .residency
            .iter()
            .map(|rule| (rule.name.clone(), ResidencyRule::new(rule)))
            .collect();
        let stamp = manifest.stamp();
        Arc::new(Self {
            description,
            stamp,
            manifest,
            sections,
            accounts,
            classes,
            models,
            regions,
            rules,
        })
    }

    /// Returns the account with the name.
    pub fn account(&self, name: &AccountName) -> Option<&AccountConfig> {
        self.accounts.get(name).map(|at| &self.description.accounts[*at])
    }

    /// Returns the class with the name.
    pub fn class(&self, name: &ClassName) -> Option<&ClassConfig> {
        self.classes.get(name).map(|at| &self.description.classes[*at])
    }

    /// Returns the first class that runs on the model.
    pub fn class_of_model(&self, model: &ModelName) -> Option<&ClassConfig> {
        let runs_on = |class: &&ClassConfig| class.model.as_ref() == Some(model);
        self.description.classes.iter().find(runs_on)
    }

    /// Returns the first class that runs on the plain service.
    pub fn class_of_service(&self, service: &str) -> Option<&ClassConfig> {
        self.description.classes.iter().find(|class| {
            class.kind == ClassKind::Service
                && class.service.as_ref().is_some_and(|name| name.as_str() == service)
        })
    }

    /// Returns the model with the name.
    pub fn model(&self, name: &ModelName) -> Option<&ModelConfig> {
        self.models.get(name).map(|at| &self.description.models[*at])
    }

    /// Returns the region of a data centre.
    pub fn region_of(&self, centre: &DataCentreName) -> Option<&RegionName> {
        self.regions.get(centre)
    }

    /// Returns the price of one slot second in a data centre, 1 if the data centre is unknown.
    pub fn price_of(&self, centre: &DataCentreName) -> f64 {
        let contains = |region: &&RegionConfig| region.data_centres.contains(centre);
        self.description.regions.iter().find(contains).map_or(1.0, |region| region.price)
    }

    /// Returns the data centres in the order of the description.
    pub fn data_centres(&self) -> impl Iterator<Item = &DataCentreName> {
        self.description.regions.iter().flat_map(|region| &region.data_centres)
    }

    /// Returns the deployments in a data centre.
    pub fn deployments_in(
        &self,
        centre: &DataCentreName,
    ) -> impl Iterator<Item = &DeploymentConfig> {
        self.description.deployments.iter().filter(move |it| it.data_centre == *centre)
    }

    /// Returns the residency rule for an account's requests of a class. The account's own rule
    /// takes precedence over the rule of the class.
    pub fn residency_of(
        &self,
        account: &AccountConfig,
        class: &ClassConfig,
    ) -> Option<&ResidencyRule> {
        let name = account.residency.as_ref().unwrap_or(&class.residency);
        self.rules.get(name)
    }
}
