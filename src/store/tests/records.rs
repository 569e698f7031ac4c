//! The form of stored records.

use crate::store::bits_to_text;
use crate::store::records::text_to_bits;

#[test]
fn bits_survive_as_text() {
    let bits = vec![0, 255, 16, 7];
    assert_eq!(text_to_bits(&bits_to_text(&bits)).unwrap(), bits);
    assert!(text_to_bits("zz").is_none());
}
