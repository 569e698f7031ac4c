//! Messages exchanged with the cloud: machine types, rentals, releases and the list of machines.

use super::literal::{
    assert_finite_numbers, assert_required, decode_value, encode_to_value, hex, message, with,
};
use ciborium::Value;
use hollowswitch::protocol::{
    decode, encode, Catalogue, ListedMachine, MachineList, MachineNames, MachineType, RentRequest,
};

fn machine_type_message() -> Value {
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
fn every_field_of_the_catalogue_is_decoded_and_encoded() {
    assert_eq!(
        decode_value::<MachineType>(&machine_type_message()),
        machine_type()
    );
    assert_eq!(encode_to_value(&machine_type()), machine_type_message());
    let literal = Value::Map(vec![(
        "breeds".into(),
        Value::Array(vec![machine_type_message()]),
    )]);
    let catalogue = Catalogue {
        machine_types: vec![machine_type()],
    };
    assert_eq!(decode_value::<Catalogue>(&literal), catalogue);
    assert_eq!(encode_to_value(&catalogue), literal);
    assert_required::<Catalogue>(&literal, &["breeds"]);
}

#[test]
fn the_catalogue_example_of_the_protocol_documentation_is_decoded() {
    let literal = message!({"breeds" => [{
        "sku" => "g8", "cores" => 96, "cards" => 8, "memGb" => 768, "cacheGb" => 200,
        "fetchGbPerS" => 1.5, "price" => 12, "lowPrice" => 4.5, "startupS" => 45,
        "yards" => ["a", "b"], "colour" => "grey"
    }]});
    assert_eq!(
        decode_value::<Catalogue>(&literal).machine_types,
        vec![machine_type()]
    );
}

#[test]
fn every_field_of_a_machine_type_is_required_and_numeric_fields_accept_finite_numbers() {
    let numeric_fields = [
        "cores",
        "cards",
        "memGb",
        "cacheGb",
        "fetchGbPerS",
        "price",
        "lowPrice",
        "startupS",
    ];
    assert_required::<MachineType>(&machine_type_message(), &numeric_fields);
    assert_required::<MachineType>(&machine_type_message(), &["sku", "yards"]);
    assert_finite_numbers::<MachineType>(&machine_type_message(), &numeric_fields);
}

#[test]
fn every_field_of_a_rental_request_is_encoded_and_decoded() {
    let literal = message!({"hire" => "r-17", "breed" => "g8", "yard" => "a", "loaners" => true,
                            "howMany" => 12});
    let request = RentRequest {
        name: "r-17".into(),
        machine_type: "g8".into(),
        zone: "a".into(),
        spot: true,
        count: 12,
    };
    assert_eq!(encode_to_value(&request), literal);
    let decoded = decode_value::<RentRequest>(&literal);
    assert_eq!(
        (decoded.name.as_str(), decoded.machine_type.as_str()),
        ("r-17", "g8")
    );
    assert_eq!(
        (decoded.zone.as_str(), decoded.spot, decoded.count),
        ("a", true, 12)
    );
    assert_required::<RentRequest>(&literal, &["hire", "breed", "yard", "loaners", "howMany"]);
}

#[test]
fn a_rental_request_encodes_to_the_expected_bytes() {
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
fn machine_names_are_encoded_and_decoded() {
    let literal = message!({"hosts" => ["n-000231", "n-000232"]});
    let names = MachineNames {
        machines: vec!["n-000231".into(), "n-000232".into()],
    };
    assert_eq!(encode_to_value(&names), literal);
    assert_eq!(
        decode_value::<MachineNames>(&literal).machines,
        names.machines
    );
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

fn listed_machine_message() -> Value {
    message!({"id" => "n-000231", "address" => "10.1.0.232:9000", "breed" => "g8", "yard" => "a",
              "loaners" => true, "standing" => "running", "ageS" => 61.5})
}

fn assert_listed_machine(machine: &ListedMachine) {
    assert_eq!(machine.id, "n-000231");
    assert_eq!(machine.address, "10.1.0.232:9000");
    assert_eq!(machine.machine_type, "g8");
    assert_eq!(machine.zone, "a");
    assert!(machine.spot);
    assert_eq!(machine.state, "running");
    assert_eq!(machine.age_s, 61.5);
}

#[test]
fn every_field_of_a_listed_machine_is_decoded_and_encoded() {
    let machine = decode_value::<ListedMachine>(&listed_machine_message());
    assert_listed_machine(&machine);
    assert_eq!(encode_to_value(&machine), listed_machine_message());
    assert_required::<ListedMachine>(
        &listed_machine_message(),
        &[
            "id", "address", "breed", "yard", "loaners", "standing", "ageS",
        ],
    );
    assert_finite_numbers::<ListedMachine>(&listed_machine_message(), &["ageS"]);
    for state in ["starting", "running", "failed"] {
        let machine = decode_value::<ListedMachine>(&with(
            &listed_machine_message(),
            "standing",
            state.into(),
        ));
        assert_eq!(machine.state, state);
    }
}

#[test]
fn every_field_of_a_page_of_machines_is_decoded_and_encoded() {
    let literal = Value::Map(vec![
        ("hosts".into(), Value::Array(vec![listed_machine_message()])),
        ("hasNext".into(), Value::Bool(true)),
    ]);
    let page = decode_value::<MachineList>(&literal);
    assert!(page.has_more);
    assert_eq!(page.machines.len(), 1);
    assert_listed_machine(&page.machines[0]);
    assert_eq!(encode_to_value(&page), literal);
    assert_required::<MachineList>(&literal, &["hosts", "hasNext"]);
    assert!(!decode_value::<MachineList>(&message!({"hosts" => [], "hasNext" => false})).has_more);
}
