//! The JSON of the stored rows, letter for letter: files of former builds must be readable, and the reverse.

use whinhill_tables::rollback::Rollback;
use whinhill_tables::{Entry, SliceTable};

/// Parses a row as a former build wrote it, and checks that this build writes the same text.
fn assert_unchanged<T: serde::Serialize + serde::de::DeserializeOwned>(row: &str) {
    let parsed: T = serde_json::from_str(row).unwrap();
    assert_eq!(serde_json::to_string(&parsed).unwrap(), row);
}

#[test]
fn rows_are_written_as_former_builds_wrote_them() {
    assert_unchanged::<Rollback>(concat!(
        r#"{"id":7,"to":3,"by":"ops","until":{"secs":60,"nanos":0},"within":{"secs":60,"nanos":0},"#,
        r#""recovered":false,"wishes":{"0":{"Open":{"to":"a"}},"1":{"Handed":{"to":"b"}},"2":"Done","#,
        r#""3":{"Abandoned":"CustodyLost"},"4":{"Abandoned":{"Server":{"server":"c","standing":"Sick"}}},"#,
        r#""5":{"Abandoned":{"Superseded":{"by":9}}},"#,
        r#""6":{"Abandoned":{"NoRoom":{"within":{"secs":60,"nanos":0}}}}}}"#
    ));
    assert_unchanged::<Entry>(concat!(
        r#"{"id":{"number":2,"hash":5},"author":{"Rollback":{"to":1,"by":"ops"}},"at":{"secs":1,"nanos":0},"#,
        r#""unix_ms":1000,"cause":"a cause","good":false,"before":{"0":null,"1":{"version":{"epoch":1,"#,
        r#""number":2},"owner":"a","shares":[1.0,0.5],"tries":0}}}"#
    ));
    assert_unchanged::<SliceTable>(
        r#"{"version":{"epoch":1,"number":2},"owner":null,"shares":[1.0],"tries":2}"#,
    );
}
