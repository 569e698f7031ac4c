//! Records that cannot be decoded, and unknown keys.

use super::{
    concat, put_event, record_count, replica_after, JOB_RECORD_PREFIX, JOB_RECORD_SUFFIX, SPEC,
};
use std::io::Write;
use std::sync::{Arc, Mutex};

/// Buffer that collects log output.
#[derive(Clone, Default)]
struct LogBuffer(Arc<Mutex<Vec<u8>>>);

impl Write for LogBuffer {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().expect("one thread writes").extend(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn undecodable_records_and_unknown_keys_are_ignored_and_logged() {
    let keys: [(&[u8], &str); 11] = [
        (b"\x73hollowswitch/leader", "hollowswitch/leader"),
        (b"\x72hollowswitch/epoch", "hollowswitch/epoch"),
        (b"\x76hollowswitch/catalogue", "hollowswitch/catalogue"),
        (b"\x76hollowswitch/live/wk-1", "hollowswitch/live/wk-1"),
        (
            b"\x78\x1ahollowswitch/stopping/wk-1",
            "hollowswitch/stopping/wk-1",
        ),
        (b"\x76hollowswitch/over/wk-1", "hollowswitch/over/wk-1"),
        (
            b"\x78\x18hollowswitch/done/wk-1/2",
            "hollowswitch/done/wk-1/2",
        ),
        (b"\x75hollowswitch/starts/3", "hollowswitch/starts/3"),
        (b"\x75hollowswitch/hire/r-1", "hollowswitch/hire/r-1"),
        (b"\x76hollowswitch/surprises", "hollowswitch/surprises"),
        (b"\x75hollowswitch/starts/x", "hollowswitch/starts/x"),
    ];
    for (key, text) in keys {
        let log = LogBuffer::default();
        let writer = log.clone();
        let subscriber = tracing_subscriber::fmt()
            .with_writer(move || writer.clone())
            .with_ansi(false)
            .finish();
        // The record is the list [7], which no family can decode.
        let replica = tracing::subscriber::with_default(subscriber, || {
            replica_after(&put_event(key, b"\x81\x07"))
        });
        assert_eq!(record_count(&replica), 0, "{text}");
        assert!(replica.epoch.is_none() && replica.catalogue.is_none());
        assert!(replica.final_state("wk-1").is_none());
        assert_eq!(replica.revision.as_u64(), 100);
        let logged = String::from_utf8(log.0.lock().unwrap().clone()).unwrap();
        assert!(
            logged.contains(&format!("record not understood, left alone key=\"{text}\"")),
            "{logged}"
        );
        assert!(logged.contains("ERROR"), "{logged}");
    }
}

#[test]
fn keys_of_other_programs_are_ignored() {
    let record = concat(&[JOB_RECORD_PREFIX, SPEC, JOB_RECORD_SUFFIX]);
    let replica = replica_after(&put_event(b"\x6fother/live/wk-1", &record));
    assert_eq!(record_count(&replica), 0);
}
