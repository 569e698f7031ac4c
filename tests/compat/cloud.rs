//! The cloud: machine types, rentals, releases and the list of machines.

use super::literal::{assert_amounts, assert_required, hex, message, read, with, written};
use ciborium::Value;
use hollowswitch::protocol::{
    decode, encode, Catalogue, ListedMachine, MachineList, MachineNames, MachineType, RentRequest,
};

fn type_message() -> Value {
    message!({
        "sku" => "g8", "cores" => 96.0, "cards" => 8.0, "memGb" => 768.0, "cacheGb" => 200.0,
        "fetchGbPerS" => 1.5, "price" => 12.0, "lowPrice" => 4.5, "startupS" => 45.0,
        "yards" => ["a", "b"]
    })
}

fn machine_type() -> MachineType {
    MachineType {
        name: "g8".into(),
        cpus: 96.0,
        gpus: 8.0,
        memory_gb: 768.0,
        cache_gb: 200.0,
        fetch_gb_per_s: 1.5,
        price: 12.0,
        spot_price: 4.5,
        boot_s: 45.0,
        zones: vec!["a".into(), "b".into()],
    }
}

#[test]
fn the_catalogue_is_read_and_written_field_by_field() {
    assert_eq!(read::<MachineType>(&type_message()), machine_type());
    assert_eq!(written(&machine_type()), type_message());
    let literal = Value::Map(vec![("breeds".into(), Value::Array(vec![type_message()]))]);
    let catalogue = Catalogue {
        machine_types: vec![machine_type()],
    };
    assert_eq!(read::<Catalogue>(&literal), catalogue);
    assert_eq!(written(&catalogue), literal);
    assert_required::<Catalogue>(&literal, &["breeds"]);
}

#[test]
fn the_catalogue_is_read_as_the_protocol_shows_it() {
    let literal = message!({"breeds" => [{
        "sku" => "g8", "cores" => 96, "cards" => 8, "memGb" => 768, "cacheGb" => 200,
        "fetchGbPerS" => 1.5, "price" => 12, "lowPrice" => 4.5, "startupS" => 45,
        "yards" => ["a", "b"], "colour" => "grey"
    }]});
    assert_eq!(
        read::<Catalogue>(&literal).machine_types,
        vec![machine_type()]
    );
}

#[test]
fn every_field_of_a_machine_type_is_required_and_amounts_are_any_finite_numbers() {
    let amounts = [
        "cores",
        "cards",
        "memGb",
        "cacheGb",
        "fetchGbPerS",
        "price",
        "lowPrice",
        "startupS",
    ];
    assert_required::<MachineType>(&type_message(), &amounts);
    assert_required::<MachineType>(&type_message(), &["sku", "yards"]);
    assert_amounts::<MachineType>(&type_message(), &amounts);
}

#[test]
fn a_rental_request_is_written_and_read_field_by_field() {
    let literal = message!({"hire" => "r-17", "breed" => "g8", "yard" => "a", "loaners" => true,
                            "howMany" => 12});
    let request = RentRequest {
        name: "r-17".into(),
        machine_type: "g8".into(),
        zone: "a".into(),
        spot: true,
        count: 12,
    };
    assert_eq!(written(&request), literal);
    let back = read::<RentRequest>(&literal);
    assert_eq!(
        (back.name.as_str(), back.machine_type.as_str()),
        ("r-17", "g8")
    );
    assert_eq!((back.zone.as_str(), back.spot, back.count), ("a", true, 12));
    assert_required::<RentRequest>(&literal, &["hire", "breed", "yard", "loaners", "howMany"]);
}

#[test]
fn a_rental_request_is_these_bytes() {
    let request = RentRequest {
        name: "r-17".into(),
        machine_type: "g8".into(),
        zone: "a".into(),
        spot: false,
        count: 50,
    };
    // {"hire": "r-17", "breed": "g8", "yard": "a", "loaners": false, "howMany": 50}
    let expected = hex(
        "a5 64 68697265 64 722d3137 65 6272656564 62 6738 64 79617264 61 61 \
         67 6c6f616e657273 f4 67 686f774d616e79 18 32",
    );
    assert_eq!(encode(&request), expected);
}

#[test]
fn names_of_machines_are_written_and_read() {
    let literal = message!({"hosts" => ["n-000231", "n-000232"]});
    let names = MachineNames {
        machines: vec!["n-000231".into(), "n-000232".into()],
    };
    assert_eq!(written(&names), literal);
    assert_eq!(read::<MachineNames>(&literal).machines, names.machines);
    assert_required::<MachineNames>(&literal, &["hosts"]);
    // {"hosts": ["n-1"]}
    let bytes = hex("a1 65 686f737473 81 63 6e2d31");
    assert_eq!(
        decode::<MachineNames>(&bytes)
            .ok()
            .map(|names| names.machines),
        Some(vec!["n-1".to_string()])
    );
}

fn listed_message() -> Value {
    message!({"id" => "n-000231", "address" => "10.1.0.232:9000", "breed" => "g8", "yard" => "a",
              "loaners" => true, "standing" => "running", "ageS" => 61.5})
}

fn assert_listed(machine: &ListedMachine) {
    assert_eq!(machine.id, "n-000231");
    assert_eq!(machine.address, "10.1.0.232:9000");
    assert_eq!(machine.machine_type, "g8");
    assert_eq!(machine.zone, "a");
    assert!(machine.spot);
    assert_eq!(machine.state, "running");
    assert_eq!(machine.age_s, 61.5);
}

#[test]
fn a_listed_machine_is_read_and_written_field_by_field() {
    let machine = read::<ListedMachine>(&listed_message());
    assert_listed(&machine);
    assert_eq!(written(&machine), listed_message());
    assert_required::<ListedMachine>(
        &listed_message(),
        &[
            "id", "address", "breed", "yard", "loaners", "standing", "ageS",
        ],
    );
    assert_amounts::<ListedMachine>(&listed_message(), &["ageS"]);
    for state in ["starting", "running", "failed"] {
        let machine = read::<ListedMachine>(&with(&listed_message(), "standing", state.into()));
        assert_eq!(machine.state, state);
    }
}

#[test]
fn a_page_of_the_list_is_read_and_written_field_by_field() {
    let literal = Value::Map(vec![
        ("hosts".into(), Value::Array(vec![listed_message()])),
        ("hasNext".into(), Value::Bool(true)),
    ]);
    let page = read::<MachineList>(&literal);
    assert!(page.has_more);
    assert_eq!(page.machines.len(), 1);
    assert_listed(&page.machines[0]);
    assert_eq!(written(&page), literal);
    assert_required::<MachineList>(&literal, &["hosts", "hasNext"]);
    assert!(!read::<MachineList>(&message!({"hosts" => [], "hasNext" => false})).has_more);
}
