use super::*;

const FILE: &str = r#"{"name":"n3","listen":"127.0.0.1:8081","discovery":"127.0.0.2:8500",
    "seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":256},
    "distributor":{"address":"127.0.0.3:6400"},
    "known":{"index":41,"snapshot":true,"endpoints":[]},
    "settings":{"caps":{"mayProbe":true},"zones":["a","b c"],"round":1.0,
        "classes":[{"name":"look","objective":1200.5}],"familyInfo":{"shards":196,"mutating":[false,true]}}}"#;

#[test]
fn nested_settings_are_flattened_to_the_paths_that_the_assigner_reads() {
    let config = parse(FILE.as_bytes()).unwrap();
    let text: Vec<String> = config.settings.0.iter().map(|(k, v)| format!("{k}={v}")).collect();
    let wanted = "caps.mayProbe=1 classes.0.name=look classes.0.objective=1200.5 classes.count=1 \
        familyInfo.mutating=0,1 familyInfo.shards=196 round=1 zones=a,b_c";
    assert_eq!(text.join(" "), wanted);
    assert_eq!((config.seed, config.stored_list.unwrap().version), (0x8c1f_30d2_7a5b_e964, 41));
}

#[test]
fn errors_name_the_path_of_the_invalid_field() {
    let error = |from: &str, to: &str| parse(FILE.replace(from, to).as_bytes()).unwrap_err().to_string();
    assert_eq!(error("127.0.0.3:6400", "nowhere"), "distributor.address: cannot read \"nowhere\"");
    assert_eq!(error("8c1f30d27a5be964", "xyz"), "seed: cannot read \"xyz\"");
    assert!(error("\"listen\"", "\"listens\"").contains("listen"));
}

#[test]
fn invalid_stored_list_does_not_keep_the_assigner_from_serving() {
    let config = parse(FILE.replace("\"index\":41", "\"index\":-1").as_bytes()).unwrap();
    assert!(config.stored_list.unwrap_err().to_string().starts_with("not a list"));
}
