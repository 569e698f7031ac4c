//! Tests of the format of stored records.

use crate::store::bitmap_to_hex;
use crate::store::records::hex_to_bitmap;

#[test]
fn a_bitmap_survives_encoding_as_text() {
    let bitmap = vec![0, 255, 16, 7];
    assert_eq!(hex_to_bitmap(&bitmap_to_hex(&bitmap)).unwrap(), bitmap);
    assert!(hex_to_bitmap("zz").is_none());
}
