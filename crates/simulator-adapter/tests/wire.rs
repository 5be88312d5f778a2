//! Runs the built adapter: its replies to valid frames and its errors for invalid input.

use std::io::Write;
use std::process::{Command, Output, Stdio};

/// Runs the adapter on `input` until it exits.
fn run_adapter(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_foldhitch-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // An adapter that rejects its input may exit before it has read all of it, so this write may fail.
    let _ = child.stdin.take().expect("piped").write_all(input);
    child.wait_with_output().expect("the adapter ends")
}

/// The clock value of every frame.
const NOW_MS: f64 = 8256.25;

/// Encodes a frame.
fn frame(records: &[Vec<u8>]) -> Vec<u8> {
    let body = records.concat();
    let mut f = (records.len() as u32).to_le_bytes().to_vec();
    f.extend((body.len() as u32 + 8).to_le_bytes());
    f.extend(NOW_MS.to_le_bytes());
    f.extend(body);
    f
}

/// Encodes the code and the instance, which begin all records but pages.
fn record_header(code: u16, instance: u16) -> Vec<u8> {
    [code.to_le_bytes(), instance.to_le_bytes()].concat()
}

/// Appends encoded fields to a record.
fn with_fields(mut record: Vec<u8>, fields: &[&[u8]]) -> Vec<u8> {
    fields.iter().for_each(|f| record.extend(*f));
    record
}

fn settings_json() -> serde_json::Value {
    serde_json::json!({
        "slotNo": 0, "peersTotal": 1, "tier": 0, "locality": 0, "tick": 5.0, "overShareWorth": 0.05,
        "discovery": "automatic", "weights": "silent", "tenants": [{"quotaPerS": 10.0}], "someNewKey": -1,
        "classes": [{"aim": 500.0, "giveUp": 2000.0, "points": 1.0, "lateWorth": 0.0,
                     "semantics": "dedup", "group": "zone", "window": 4000.0, "fifoByKey": true}],
        "caps": {"cancelling": true, "mayDuplicate": true, "probes": false, "peers": false, "retryAfter": true,
                 "maxRetryAfter": 1000.0, "tryLimit": 3, "connectTimeout": 250.0},
        "guarantees": {"coldFrom": 0.1, "cold": 9000.0, "fallMultiple": 3.0, "fall": 1000.0,
                       "stopSendingWithin": 250.0, "graceToAnswer": 20.0,
                       "releaseWithin": 500.0, "settleAfterDoubt": 300.0}
    })
}

/// Encodes a record that launches instance 3.
fn launch(settings: &str) -> Vec<u8> {
    with_fields(
        record_header(1, 3),
        &[&7u64.to_le_bytes(), &(settings.len() as u32).to_le_bytes(), settings.as_bytes()],
    )
}

/// Encodes a page of ready endpoints.
fn endpoint_page(page: u32, backends: &[u32]) -> Vec<u8> {
    let mut r = with_fields(
        11u16.to_le_bytes().to_vec(),
        &[&page.to_le_bytes(), &(backends.len() as u32).to_le_bytes()],
    );
    for b in backends {
        let (zone, started, weight) = (0u16.to_le_bytes(), 0f64.to_le_bytes(), 1f32.to_le_bytes());
        r = with_fields(r, &[&[0], &b.to_le_bytes(), &zone, &started, &weight, &[0, 0], &[0, 0]]);
    }
    r
}

/// Encodes an endpoint list event for instance 3 that refers to a page.
fn endpoint_list(page: u32, kind: u8) -> Vec<u8> {
    with_fields(record_header(2, 3), &[&page.to_le_bytes(), &[kind], &1u64.to_le_bytes()])
}

fn request(xid: u64) -> Vec<u8> {
    request_with_key(xid, 0)
}

/// Encodes a request to instance 3 with an ordering key; 0 is none.
fn request_with_key(xid: u64, key: u64) -> Vec<u8> {
    let deadline = NOW_MS + 2000.0;
    let (key, hint) = (key.to_le_bytes(), 0f64.to_le_bytes());
    with_fields(
        record_header(3, 3),
        &[&xid.to_le_bytes(), &key, &[0, 0], &[0], &hint, &[0, 0], &deadline.to_le_bytes()],
    )
}

/// Splits the output of the adapter into replies without their length prefix.
fn split_replies(out: &[u8]) -> Vec<Vec<u8>> {
    let (mut at, mut all) = (0, Vec::new());
    while at < out.len() {
        let n = u32::from_le_bytes(out[at..at + 4].try_into().unwrap()) as usize;
        all.push(out[at + 4..at + 4 + n].to_vec());
        at += 4 + n;
    }
    all
}

/// Guards against an endpoint list that uses a wrong definition of its page: it uses the last one before it.
#[test]
fn list_uses_the_latest_definition_of_its_page() {
    let start = frame(&[launch(&settings_json().to_string()), endpoint_page(1, &[11]), endpoint_list(1, 3)]);
    // Page 1 is redefined within the frame: once before the endpoint list and once after it.
    let next = frame(&[endpoint_page(1, &[22]), endpoint_list(1, 0), endpoint_page(1, &[33]), request(99)]);

    let out = run_adapter(&[start, next].concat());
    assert!(out.status.success(), "{}", String::from_utf8_lossy(&out.stderr));

    let replies = split_replies(&out.stdout);
    assert_eq!(replies.len(), 2, "one reply to each frame");

    let mut sent = with_fields(record_header(1, 3), &[&99u64.to_le_bytes(), &22u32.to_le_bytes()]);
    sent.extend((NOW_MS + 2000.0).to_le_bytes());
    assert_eq!(replies[1], sent);
}

/// Guards against settings or request fields that the adapter drops: the ordering key, which serializes
/// requests, and the rule that idle connections to a draining backend are closed.
#[test]
fn ordering_key_and_draining_reach_the_balancer() {
    let start = frame(&[launch(&settings_json().to_string()), endpoint_page(1, &[11]), endpoint_list(1, 3)]);
    let two = frame(&[request_with_key(1, 77), request_with_key(2, 77)]);
    let mut drained = endpoint_page(2, &[11]);
    // Sets the phase of the only endpoint to draining.
    drained[10] = 2;

    let out = run_adapter(&[start, two, frame(&[drained, endpoint_list(2, 1)])].concat());
    assert!(out.status.success(), "{}", String::from_utf8_lossy(&out.stderr));

    let replies = split_replies(&out.stdout);
    assert_eq!(replies[1].len(), 24, "more than one attempt: {:?}", replies[1]);
    assert_eq!(replies[2], with_fields(record_header(7, 3), &[&11u32.to_le_bytes()]));
}

/// Guards against an error when the input ends where a frame could begin.
#[test]
fn end_of_input_between_frames_exits_with_zero() {
    let out = run_adapter(&[]);
    assert!(out.status.success() && out.stdout.is_empty());

    let out = run_adapter(&frame(&[]));
    assert!(out.status.success());
    assert_eq!(out.stdout, [0, 0, 0, 0]);
}

/// Guards against invalid input that is accepted, or answered before it is rejected. Each error is one line with
/// the position of the fault.
#[test]
fn invalid_input_prints_one_line_and_no_reply() {
    let good = frame(&[launch(&settings_json().to_string()), endpoint_page(1, &[11]), endpoint_list(1, 3)]);
    let launch_with = |change: &dyn Fn(&mut serde_json::Value)| {
        let mut changed = settings_json();
        change(&mut changed);
        frame(&[launch(&changed.to_string())])
    };
    let mut long = frame(&[endpoint_page(1, &[11])]);
    long[4] += 4;
    long.extend([0; 4]);
    let mut short = frame(&[]);
    short[4] = 3;
    let mut clock = frame(&[]);
    clock[8..16].copy_from_slice(&f64::NAN.to_le_bytes());
    let cases: Vec<(Vec<u8>, &[&str])> = vec![
        (good[..10].to_vec(), &["frame", "header", "10 of 16"]),
        (good[..good.len() - 3].to_vec(), &["frame", "truncated"]),
        (short, &["byte 4", "length 3"]),
        (clock, &["byte 8", "clock"]),
        (long, &["4 bytes left over"]),
        (frame(&[record_header(44, 3)]), &["record 0", "byte 16", "event 44"]),
        (frame(&[endpoint_page(16, &[])]), &["page 16"]),
        (frame(&[with_fields(record_header(6, 3), &[&[1, 2, 3]])]), &["byte 20", "xid"]),
        (frame(&[request(1)]), &["instance 3"]),
        (frame(&[record_header(10, 3)]), &["instance 3"]),
        (
            frame(&[launch(&settings_json().to_string()), endpoint_list(5, 0)]),
            &["record 1", "page 5", "never defined"],
        ),
        (frame(&[launch(&settings_json().to_string()), endpoint_list(5, 9)]), &["list kind 9"]),
        (frame(&[launch("{nonsense")]), &["record 0", "settings"]),
        (launch_with(&|f| drop(f.as_object_mut().unwrap().remove("tick"))), &["settings", "tick"]),
        (launch_with(&|f| f["classes"][0]["aim"] = (-4.0).into()), &["classes[0].aim", "negative"]),
        (launch_with(&|f| f["guarantees"]["cold"] = "x".into()), &["guarantees.cold"]),
        (launch_with(&|f| f["slotNo"] = 5.into()), &["slotNo"]),
        (frame(&[launch(&settings_json().to_string().replace("500.0", "1e999"))]), &["settings"]),
    ];

    for (input, words) in cases {
        let out = run_adapter(&input);
        let error = String::from_utf8_lossy(&out.stderr);
        assert_eq!(out.status.code(), Some(1), "{words:?}: {error}");
        assert!(out.stdout.is_empty(), "{words:?}: part of a reply was written");
        assert_eq!(error.lines().count(), 1, "{words:?}: {error}");
        words.iter().for_each(|w| assert!(error.contains(w), "'{w}' is missing: {error}"));
    }
}

/// Guards against unused records that shift the reader or get a reply: they are read to their end and ignored.
/// Their instance must be running.
#[test]
fn unused_events_are_read_and_ignored() {
    let first_byte = |i| {
        with_fields(
            record_header(4, i),
            &[&1u64.to_le_bytes(), &[0], &11u32.to_le_bytes(), &5f64.to_le_bytes()],
        )
    };
    let report = [&[1u8][..], &0.5f32.to_le_bytes()].concat();
    let sampled =
        with_fields(record_header(8, 3), &[&5f64.to_le_bytes(), &11u32.to_le_bytes(), &[0, 0], &report]);
    let datagram = with_fields(record_header(9, 3), &[&1u32.to_le_bytes(), &2u16.to_le_bytes(), b"hi"]);
    let start = frame(&[launch(&settings_json().to_string()), endpoint_page(1, &[11]), endpoint_list(1, 3)]);
    let rest = frame(&[first_byte(3), sampled, datagram]);

    let out = run_adapter(&[start.clone(), rest].concat());
    assert!(out.status.success(), "{}", String::from_utf8_lossy(&out.stderr));
    assert_eq!(split_replies(&out.stdout)[1], Vec::<u8>::new());

    let out = run_adapter(&[start, frame(&[first_byte(8)])].concat());
    assert_eq!(out.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&out.stderr).contains("instance 8 is unknown"));
}
