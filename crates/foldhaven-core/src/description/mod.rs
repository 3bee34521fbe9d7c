//! The declarative description of a deployment: its schema, validation, versions and sections.

mod check;
mod difference;
mod index;
mod model;
mod sections;
mod stamp;

pub use self::check::{CheckFault, check_description, parse_description};
pub use self::difference::{DescriptionChange, describe_changes};
pub use self::index::DescriptionIndex;
pub use self::model::{
    AccountConfig, ClassConfig, ClassKind, DeploymentConfig, Description, FenceConfig,
    LimitsConfig, ModelConfig, NetworkConfig, ObjectiveConfig, RegionConfig, ResidencyConfig,
    ServiceConfig,
};
pub use self::sections::{SectionDigest, SectionManifest, SectionSet, SectionsError};
pub use self::stamp::{DescriptionStamp, StampError};
