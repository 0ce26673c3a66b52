use super::*;

fn sender() -> Extension {
    Extension::Sender(LifeId { address: "10.0.0.1:7946".parse().unwrap(), order: 7, salt: 9 })
}

fn datagram(schema: u16, more: &[u8]) -> Vec<u8> {
    let envelope = Envelope { schema, cluster: "c", digest: 1, nodes: 2, payload: &[], more };
    postcard::to_stdvec(&envelope).unwrap()
}

#[test]
fn extensions_come_back_as_they_were_sent() {
    let sent = [sender(), Extension::Dissemination(vec![1, 2, 3])];
    let data = datagram(SCHEMA, &encode_extensions(&sent));
    let envelope = Envelope::decode(&data).unwrap();
    assert_eq!((envelope.digest, envelope.nodes, envelope.payload), (1, 2, &[][..]));
    assert_eq!(envelope.extensions(), sent);
}

#[test]
fn kinds_of_a_later_version_are_passed_over() {
    let mut more = encode_extensions(&[sender()]);
    more.extend(postcard::to_stdvec(&Frame { kind: 60_000, body: b"later" }).unwrap());
    more.extend(encode_extensions(&[Extension::Dissemination(vec![4])]));
    let data = datagram(SCHEMA + 1, &more);
    let found = Envelope::decode(&data).unwrap().extensions();
    assert_eq!(found, [sender(), Extension::Dissemination(vec![4])]);
}

#[test]
fn schema_one_has_no_extensions_and_garbage_ends_them() {
    let data = datagram(1, &encode_extensions(&[sender()]));
    assert_eq!(Envelope::decode(&data).unwrap().extensions(), []);
    let mut more = encode_extensions(&[sender()]);
    more.extend([1, 200, 200]);
    let data = datagram(SCHEMA, &more);
    assert_eq!(Envelope::decode(&data).unwrap().extensions(), [sender()]);
}
