//! Bounds the memory of the bodies and answers that a VM holds.
//!
//! The memory is divided by kind and by size, so that long bodies leave room for short ones, and
//! requests that hold a body never keep answers from being read.

use crate::units::ByteSize;

/// The longest body of the size class [`SizeClass::Tiny`], in bytes.
pub const MAX_TINY_BYTES: usize = 8 << 10;
/// The longest body of the size class [`SizeClass::Short`], in bytes.
pub const MAX_SHORT_BYTES: usize = 64 << 10;
/// The longest body of the size class [`SizeClass::Medium`], in bytes.
pub const MAX_MEDIUM_BYTES: usize = 1 << 20;
/// The share of the memory of a VM that bodies and answers may take.
const HELD_SHARE: f64 = 0.5;
/// Number of parts that the memory is divided into.
const PARTS: u64 = 32;

/// The memory of a VM that does not know its own, or has more.
pub const DEFAULT_VM_MEMORY: ByteSize = ByteSize(160 << 20);
/// The least memory of a VM that its settings may name.
pub const MIN_VM_MEMORY: ByteSize = ByteSize(32 << 20);

/// What bytes are held for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeldKind {
    /// The body of a request, of a caller or of another VM.
    Body,
    /// The answer of an upstream or of another VM.
    Answer,
}

/// The size of a body or an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum SizeClass {
    /// Up to [`MAX_TINY_BYTES`].
    Tiny,
    /// Up to [`MAX_SHORT_BYTES`].
    Short,
    /// Up to [`MAX_MEDIUM_BYTES`].
    Medium,
    /// Longer.
    Long,
}

impl SizeClass {
    /// Number of sizes.
    const COUNT: usize = 4;
    /// All sizes, the smallest first.
    const ALL: [Self; Self::COUNT] = [Self::Tiny, Self::Short, Self::Medium, Self::Long];

    /// Returns the class of a number of bytes.
    pub fn of(bytes: usize) -> Self {
        let class = Self::ALL.into_iter().find(|size| bytes <= size.max_bytes());
        class.unwrap_or(Self::Long)
    }

    /// Returns the largest size of the class in bytes.
    pub fn max_bytes(self) -> usize {
        match self {
            Self::Tiny => MAX_TINY_BYTES,
            Self::Short => MAX_SHORT_BYTES,
            Self::Medium => MAX_MEDIUM_BYTES,
            Self::Long => usize::MAX,
        }
    }
}

/// A part of the memory, used by the bodies or answers of one size class.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldClass {
    /// What the bytes are held for.
    pub kind: HeldKind,
    /// The size of each body or answer.
    pub size: SizeClass,
}

impl HeldClass {
    /// Number of classes.
    pub const COUNT: usize = 2 * SizeClass::COUNT;

    /// Returns all classes, in the order of [`Self::index`].
    pub fn all() -> impl Iterator<Item = Self> {
        let kinds = [HeldKind::Body, HeldKind::Answer];
        kinds.into_iter().flat_map(|kind| SizeClass::ALL.map(|size| Self { kind, size }))
    }

    /// Returns the position of the class among all.
    pub fn index(self) -> usize {
        let kind = match self.kind {
            HeldKind::Body => 0,
            HeldKind::Answer => SizeClass::COUNT,
        };
        kind + self.size as usize
    }

    /// Returns the number of parts that the class may use. Prompts are short, and most of the
    /// others are uploads.
    fn parts(self) -> u64 {
        match (self.kind, self.size) {
            (HeldKind::Body, SizeClass::Tiny) => 2,
            (HeldKind::Body, SizeClass::Short) => 6,
            (HeldKind::Body, SizeClass::Medium) => 3,
            (HeldKind::Body, SizeClass::Long) => 14,
            (HeldKind::Answer, SizeClass::Tiny | SizeClass::Medium) => 1,
            (HeldKind::Answer, SizeClass::Short) => 2,
            (HeldKind::Answer, SizeClass::Long) => 3,
        }
    }
}

/// The limits of the memory of each class.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldLimits {
    total: ByteSize,
}

impl HeldLimits {
    /// Returns the limits of a VM with this memory.
    pub fn of_vm(memory: ByteSize) -> Self {
        Self { total: ByteSize((memory.0 as f64 * HELD_SHARE) as u64) }
    }

    /// Returns the limit of all classes together.
    pub fn total(&self) -> ByteSize {
        self.total
    }

    /// Returns the limit of a class in bytes.
    pub fn limit(&self, class: HeldClass) -> usize {
        usize::try_from(self.total.0 / PARTS * class.parts()).unwrap_or(usize::MAX)
    }
}
