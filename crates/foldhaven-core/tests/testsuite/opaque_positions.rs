//! Positions in the history of the platform.

use foldhaven_core::opaque::feed_position::FeedPosition;
use proptest::prelude::*;

proptest! {
    /// Guards against a later position that compares as an earlier one, packed or not, and in text.
    #[test]
    fn packing_keeps_the_order(
        left in (0..1_000_u64, 0..1_000_000_000_u64),
        right in (0..1_000_u64, 0..1_000_000_000_u64),
    ) {
        let position = |(era, revision)| FeedPosition { era, revision };
        let (left, right) = (position(left), position(right));
        prop_assert_eq!(left.cmp(&right), left.packed().cmp(&right.packed()));
        prop_assert_eq!(FeedPosition::from_packed(left.packed()), left);
        prop_assert_eq!(left.to_string().parse(), Ok(left));
    }

    /// Guards against overflow by nonsense of the platform.
    #[test]
    fn any_position_can_be_packed(era: u64, revision: u64) {
        let packed = FeedPosition { era, revision }.packed();
        prop_assert!(FeedPosition::from_packed(packed).revision <= revision);
    }
}
