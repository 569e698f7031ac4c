//! What to rent next.

use super::*;

fn wish(offer: Offer, count: u32) -> Wish {
    Wish { offer, count }
}

#[test]
fn an_offer_rests_after_a_request_while_others_are_wanted() {
    let mut fleet = Fleet::default();
    let urgent = Offer { kind: 0, zone: 0, spot: false };
    let other = Offer { spot: true, ..urgent };
    let both = || vec![wish(urgent, 2), wish(other, 50)];
    assert_eq!(fleet.next_request(both(), 2000, 1000), Some(wish(urgent, 2)));
    // Urgent work that comes in a few tasks at a time does not take every call.
    assert_eq!(fleet.next_request(both(), 2000, 1700), Some(wish(other, 50)));
    // Both rest: the most urgent goes first.
    assert_eq!(fleet.next_request(both(), 2000, 2400), Some(wish(urgent, 2)));
    assert_eq!(fleet.next_request(vec![wish(urgent, 1)], 2000, 2500), Some(wish(urgent, 1)));
    assert_eq!(fleet.next_request(Vec::new(), 2000, 2600), None);
    assert_eq!(fleet.next_request(both(), 2000, 9000), Some(wish(urgent, 2)));
}
