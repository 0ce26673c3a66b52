use super::*;

fn sender() -> Extension {
    Extension::Sender(IdentityKey { address: "10.0.0.1:7946".parse().unwrap(), generation: 7, salt: 9 })
}

fn datagram(schema: u16, extension_bytes: &[u8]) -> Vec<u8> {
    let envelope = Envelope { schema, cluster: "c", digest: 1, nodes: 2, payload: &[], extension_bytes };
    postcard::to_stdvec(&envelope).unwrap()
}

#[test]
fn extensions_are_decoded_as_they_were_encoded() {
    let sent = [sender(), Extension::Dissemination(vec![1, 2, 3])];
    let data = datagram(SCHEMA, &encode_extensions(&sent));
    let envelope = Envelope::decode(&data).unwrap();
    assert_eq!((envelope.digest, envelope.nodes, envelope.payload), (1, 2, &[][..]));
    assert_eq!(envelope.extensions(), sent);
}

#[test]
fn unknown_extension_kinds_are_skipped() {
    let mut extension_bytes = encode_extensions(&[sender()]);
    extension_bytes.extend(postcard::to_stdvec(&Frame { kind: 60_000, body: b"later" }).unwrap());
    extension_bytes.extend(encode_extensions(&[Extension::Dissemination(vec![4])]));
    let data = datagram(SCHEMA + 1, &extension_bytes);
    let found = Envelope::decode(&data).unwrap().extensions();
    assert_eq!(found, [sender(), Extension::Dissemination(vec![4])]);
}

#[test]
fn schema_one_has_no_extensions_and_malformed_bytes_end_them() {
    let data = datagram(1, &encode_extensions(&[sender()]));
    assert_eq!(Envelope::decode(&data).unwrap().extensions(), []);
    let mut extension_bytes = encode_extensions(&[sender()]);
    extension_bytes.extend([1, 200, 200]);
    let data = datagram(SCHEMA, &extension_bytes);
    assert_eq!(Envelope::decode(&data).unwrap().extensions(), [sender()]);
}
