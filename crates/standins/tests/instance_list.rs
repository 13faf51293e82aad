//! Contract of the platform's list of instances.

use std::{
    io::{Read, Write},
    net::TcpListener,
    sync::Arc,
};

use bilberryford_platform::{
    HttpPlatform, HttpPlatformConfig, InstanceList, InstanceRecord, InstanceState, ObjectKind,
    ObjectStore, PlatformError, Role,
};
use bilberryford_standins::platform::{Faults, Platform};
use bilberryford_types::ObjectVersion;
use rstest::rstest;

fn record(id: &str) -> InstanceRecord {
    InstanceRecord {
        id: id.to_owned(),
        role: Role::Engine,
        pool: "serving".parse().ok(),
        address: ([127, 0, 0, 1], 9).into(),
        peer_address: None,
        data_centre: "linz-1".parse().unwrap(),
        state: InstanceState::Live,
    }
}

#[tokio::test]
async fn an_unchanged_list_is_not_sent_again_and_a_changed_one_is() {
    let platform = Arc::new(Platform::default());
    let host = platform.host(([127, 0, 0, 1], 0).into()).unwrap();
    let client = HttpPlatform::new(HttpPlatformConfig::new(host.url())).unwrap();
    platform.set_instances(vec![record("engine-1")]);
    assert_eq!(client.instances().await.unwrap(), [record("engine-1")]);
    let bytes = platform.stats().bytes;
    assert_eq!(client.instances().await.unwrap(), [record("engine-1")]);
    assert_eq!(platform.stats().bytes, bytes);
    platform.set_instances(vec![record("engine-1"), record("engine-2")]);
    assert_eq!(client.instances().await.unwrap(), [record("engine-1"), record("engine-2")]);
    assert!(platform.stats().bytes > bytes);
}

#[tokio::test]
async fn an_outage_is_an_error_and_not_an_empty_list() {
    let platform = Arc::new(Platform::default());
    let host = platform.host(([127, 0, 0, 1], 0).into()).unwrap();
    let client = HttpPlatform::new(HttpPlatformConfig::new(host.url())).unwrap();
    platform.set_instances(vec![record("engine-1")]);
    client.instances().await.unwrap();
    platform.set_faults(Faults { outage: true, ..Faults::default() });
    assert!(matches!(client.instances().await, Err(PlatformError::NotApplied { .. })));
    platform.set_faults(Faults::default());
    assert_eq!(client.instances().await.unwrap(), [record("engine-1")]);
}

/// Serves one response with `body` to each connection.
fn serve_body(body: Vec<u8>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            let mut request = [0; 4_096];
            // The request is not looked at.
            let _ = stream.read(&mut request);
            let head = format!(
                "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            let _ = stream.write_all(&[head.as_bytes(), &body].concat());
        }
    });
    format!("http://{address}")
}

/// Guards against instances that stop following the list over one row that another writer wrote.
#[rstest]
#[case::deep(format!(r#"{{"id":"odd","more":{}{}}}"#, "[".repeat(200_000), "]".repeat(200_000)).into_bytes())]
#[case::number_too_large(br#"{"id":"odd","role":"engine","pool":"p","address":1e400}"#.to_vec())]
#[case::port_out_of_range(br#"{"id":"odd","role":"engine","pool":"p","address":"127.0.0.1:70000","data_centre":"a","state":"live"}"#.to_vec())]
#[case::unnamed_role(br#"{"id":"odd","role":"cook","pool":"p","address":"127.0.0.1:7","data_centre":"a","state":"live"}"#.to_vec())]
#[case::missing_fields(br#"{"id":"odd"}"#.to_vec())]
#[case::no_object(b"7".to_vec())]
#[case::no_text(b"\"\xff\xfe\"".to_vec())]
#[tokio::test]
async fn the_rows_beside_an_odd_one_hold(#[case] odd: Vec<u8>) {
    let rows = [record("engine-1"), record("engine-2")];
    let [first, second] = rows.each_ref().map(|row| serde_json::to_vec(row).unwrap());
    let body = [&b"{\"instances\":["[..], &first, b",", &odd, b",", &second, b"]}"].concat();
    let client = HttpPlatform::new(HttpPlatformConfig::new(serve_body(body))).unwrap();
    assert_eq!(client.instances().await.unwrap(), rows);
}

/// The same for the objects of a kind.
#[rstest]
#[case::odd_name(br#"{"name":"a name, odd","version":3,"body":"x"}"#.to_vec())]
#[case::number_too_large(br#"{"name":"odd","version":1e400,"body":"x"}"#.to_vec())]
#[case::no_text(b"{\"name\":\"odd\",\"version\":3,\"body\":\"\xff\"}".to_vec())]
#[tokio::test]
async fn the_objects_beside_an_odd_one_hold(#[case] odd: Vec<u8>) {
    let item = |name: &str| format!(r#"{{"name":"{name}","version":3,"body":"x"}}"#).into_bytes();
    let (first, second) = (item("a"), item("b"));
    let body =
        [&b"{\"version\":9,\"items\":["[..], &first, b",", &odd, b",", &second, b"]}"].concat();
    let client = HttpPlatform::new(HttpPlatformConfig::new(serve_body(body))).unwrap();
    let (version, objects) = client.list(ObjectKind::Order, "").await.unwrap();
    assert_eq!(version, ObjectVersion::new(9));
    let names: Vec<_> = objects.iter().map(|object| object.name.as_str()).collect();
    assert_eq!(names, ["a", "b"]);
}
