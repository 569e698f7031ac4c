//! Tests of the format of stored records.

use crate::store::records::hex_to_bitmap;
use crate::store::{bitmap_to_hex, json_bytes, JobRecord};

#[test]
fn a_bitmap_survives_encoding_as_text() {
    let bitmap = vec![0, 255, 16, 7];
    assert_eq!(hex_to_bitmap(&bitmap_to_hex(&bitmap)).unwrap(), bitmap);
    assert!(hex_to_bitmap("zz").is_none());
}

/// The reduced record of a job that is being stopped keeps what a later leader needs to stop its tasks and to count them.
#[test]
fn a_record_is_reduced_only_as_far_as_its_size_requires() {
    let mut record = JobRecord {
        spec: crate::scheduler::tests::spec("wk-1", 3),
        at_ms: 5,
    };
    record.spec.class = "c".repeat(200);
    record.spec.machine_types = Some(vec!["m".repeat(200); 64]);
    let whole = json_bytes(&record);
    assert_eq!(json_bytes(&record.for_stopping(whole)), whole);
    let without_types = record.for_stopping(whole - 1);
    assert_eq!(without_types.spec.machine_types, None);
    assert_eq!(without_types.spec.class, record.spec.class);
    let without_names = record.for_stopping(400);
    assert!(json_bytes(&without_names) <= 400);
    let kept = |record: &JobRecord| {
        let spec = &record.spec;
        (spec.id.clone(), spec.team.clone(), spec.tasks, record.at_ms)
    };
    assert_eq!(kept(&without_names), kept(&record));
}
