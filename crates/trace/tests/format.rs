//! The guarantees of the format: written records are read back, damage loses only the blocks that it hits, and unknown
//! fields survive a copy.

use proptest::prelude::*;
use sanddyke_trace::generate::{Plan, generate};
use sanddyke_trace::tools::{self, Filter};
use sanddyke_trace::{
    AttemptDispatched, Event, Header, Reader, Record, RequestReceived, TraceError, Writer, remap,
};
use std::collections::{BTreeMap, BTreeSet};
use std::io::Cursor;
use std::sync::{Arc, Mutex};

#[derive(Clone, Default)]
struct Shared(Arc<Mutex<Vec<u8>>>);

impl std::io::Write for Shared {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap().extend(bytes);
        Ok(bytes.len())
    }
    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Generated traces, one for each manager.
fn traces(requests: u64, managers: usize) -> Vec<Vec<u8>> {
    let files: Vec<Shared> = (0..managers).map(|_| Shared::default()).collect();
    let plan = Plan { requests, clock_offsets_us: vec![0; managers], seed: 5, tenants: 7 };
    generate(&plan, |manager| Ok(files[manager].clone())).unwrap();
    files.into_iter().map(|file| file.0.lock().unwrap().clone()).collect()
}

fn open(file: &[u8]) -> Reader<Cursor<Vec<u8>>> {
    Reader::new(Cursor::new(file.to_vec())).unwrap()
}

/// The descriptions of all records with their times and requests, and the number of unreadable parts.
fn descriptions(file: &[u8]) -> (Vec<(i64, u64, String)>, usize) {
    let mut reader = open(file);
    let all = reader
        .by_ref()
        .map(|entry| entry.unwrap())
        .map(|entry| (entry.record.at_us, entry.record.request, tools::describe(&entry)))
        .collect();
    (all, reader.faults().len())
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Written records are read back equal, over any number of blocks.
    #[test]
    fn written_records_are_read_back(records in prop::collection::vec((any::<i64>(), any::<u64>(), "[a-z]{0,9}", 0u32..9), 0..400),
                                  flush in 1usize..50) {
        let mut file = Vec::new();
        let mut writer = Writer::new(&mut file, Header { manager: "m".into(), ..Header::default() }).unwrap();
        for (number, (at_us, request, name, attempt)) in records.iter().enumerate() {
            let engine = writer.string(name);
            let event = Some(Event::AttemptDispatched(AttemptDispatched { attempt: *attempt, engine }));
            writer.write(&Record { at_us: *at_us, request: *request, manager: 0, event }).unwrap();
            if number % flush == 0 {
                writer.flush().unwrap();
            }
        }
        writer.finish().unwrap();
        let mut reader = open(&file);
        for (at_us, request, name, attempt) in &records {
            let entry = reader.next().unwrap().unwrap();
            let Some(Event::AttemptDispatched(sent)) = &entry.record.event else { panic!("{entry:?}") };
            prop_assert_eq!((entry.record.at_us, entry.record.request, sent.attempt), (*at_us, *request, *attempt));
            prop_assert_eq!(entry.string(sent.engine), name);
        }
        prop_assert!(reader.next().is_none());
        prop_assert!(reader.faults().is_empty() && reader.index().is_some());
        prop_assert!(tools::verify(&mut open(&file)).unwrap().is_empty());
    }

    /// Any bytes are read to the end, without a panic and without an endless search.
    #[test]
    fn reading_any_bytes_terminates_without_a_panic(bytes in prop::collection::vec(any::<u8>(), 0..3000), marks in prop::collection::vec(0usize..3000, 0..5)) {
        let mut file = sanddyke_trace::MAGIC.to_vec();
        file.extend(bytes);
        for at in marks {
            let at = at.min(file.len());
            file.splice(at..at, [0xd7, b'S', b'D', 0xb1]);
        }
        file[..8].copy_from_slice(&sanddyke_trace::MAGIC);
        let mut reader = open(&file);
        prop_assert!(reader.by_ref().all(|entry| entry.is_ok()));
        prop_assert!(remap(&file[8..], &mut |number| number).is_none_or(|copy| copy.len() <= 2 * file.len()));
    }
}

/// A file that is truncated anywhere is read up to its last intact block, and can be recovered up to there.
#[test]
fn a_truncated_file_is_read_up_to_its_last_intact_block() {
    let file = &traces(3000, 1)[0];
    let whole = descriptions(file).0;
    let index = open(file).seek_index().unwrap().unwrap();
    assert!(index.blocks.len() > 3, "{} blocks", index.blocks.len());
    let mut cuts: Vec<usize> = (0..60).map(|part| file.len() * part / 60).collect();
    cuts.extend(index.blocks.iter().flat_map(|block| [block.offset as usize, block.offset as usize + 1]));
    for cut in cuts.into_iter().filter(|cut| *cut >= 200) {
        let (read, faults) = descriptions(&file[..cut]);
        let ends = index.blocks.iter().skip(1).map(|block| block.offset as usize);
        let before = ends.filter(|end| *end <= cut).count();
        let expected: u64 = index.blocks.iter().take(before).map(|block| block.records).sum();
        let least = usize::try_from(expected).unwrap();
        assert!(
            read.len() >= least && read[..] == whole[..read.len()],
            "cut at {cut}: {} of {least}",
            read.len()
        );
        assert!(faults <= 1, "cut at {cut}");
        let mut mended = Vec::new();
        tools::recover(&mut open(&file[..cut]), &mut mended).unwrap();
        assert!(tools::verify(&mut open(&mended)).unwrap().is_empty(), "cut at {cut}");
        assert_eq!(descriptions(&mended).0, read, "cut at {cut}");
    }
}

/// Damage anywhere loses the blocks that it hits and no others.
#[test]
fn damage_loses_only_the_blocks_that_it_hits() {
    let file = &traces(3000, 1)[0];
    let whole = descriptions(file).0;
    let index = open(file).seek_index().unwrap().unwrap();
    for (number, block) in index.blocks.iter().enumerate() {
        for at in [0, 5, 13, 17, 30, 400] {
            let mut bad = file.clone();
            bad[block.offset as usize + at] ^= 0x10;
            let (read, faults) = descriptions(&bad);
            assert_eq!(faults, 1, "block {number}, byte {at}");
            assert_eq!(read.len() as u64, whole.len() as u64 - block.records, "block {number}, byte {at}");
            assert!(!tools::verify(&mut open(&bad)).unwrap().is_empty());
        }
    }
    let mut none = file.clone();
    none[0] ^= 1;
    assert!(matches!(Reader::new(Cursor::new(none)).unwrap_err(), TraceError::NotATrace));
}

/// An event of an unknown kind, and unknown fields, are copied together with their strings.
#[test]
fn unknown_events_and_fields_survive_a_copy() {
    let mut file = Vec::new();
    let mut writer = Writer::new(&mut file, Header::default()).unwrap();
    let word = writer.string("a word of a later version");
    // Field 40 of the record: a message with the string in field 16, and a number in field 7.
    let later = |string: u8| vec![0x08, 0x02, 0x10, 0x05, 0xc2, 0x02, 0x05, 0x38, 0x2a, 0x80, 0x01, string];
    let record = Record { at_us: 1, request: 5, manager: 0, event: None };
    writer.copy(&record, &later(word as u8), |_| "a word of a later version".to_owned()).unwrap();
    writer.finish().unwrap();
    let mut copy = Vec::new();
    let mut other = Writer::new(&mut copy, Header::default()).unwrap();
    other.string("another word first");
    for entry in open(&file) {
        let entry = entry.unwrap();
        other.copy(&entry.record, &entry.bytes, |number| entry.string(number).to_owned()).unwrap();
    }
    other.finish().unwrap();
    let entry = open(&copy).next().unwrap().unwrap();
    assert_eq!(entry.bytes, later(2), "the same bytes, with the string's new number");
    assert_eq!(entry.string(2), "a word of a later version");
    assert_eq!(entry.record.request, 5);
}

/// A cut contains all records of the selected requests and no others, the cuts by tenant add up to the whole file, and
/// the tools agree on the counts.
#[test]
fn cut_summary_and_info_agree() {
    let file = &traces(4000, 1)[0];
    let whole = tools::summary(&mut open(file)).unwrap();
    let info = tools::info(&mut open(file)).unwrap();
    let taken: u64 = whole.rows.iter().map(|row| row.received).sum();
    assert_eq!(info.records_by_tag[&3], taken);
    assert_eq!(whole.unfinished, 0);
    let tenants: BTreeSet<String> = whole.rows.iter().map(|row| row.tenant.clone()).collect();
    let mut parts = Vec::new();
    for tenant in &tenants {
        let filter =
            Filter { tenant: Some(tenant.clone()), from_us: Some(0), until_us: Some(0), ..Filter::default() };
        let filter = Filter { from_us: None, until_us: None, ..filter };
        let wanted = tools::select(&mut open(file), &filter).unwrap();
        let mut part = Vec::new();
        tools::cut(&mut open(file), &wanted, &filter, &mut part).unwrap();
        assert!(tools::verify(&mut open(&part)).unwrap().is_empty());
        let counted = tools::summary(&mut open(&part)).unwrap();
        assert!(counted.rows.iter().all(|row| row.tenant == *tenant) && counted.unfinished == 0);
        parts.extend(counted.rows);
    }
    assert_eq!(parts, whole.rows);
    let filter = Filter { end: Some("refused".to_owned()), ..Filter::default() };
    let refused = tools::select(&mut open(file), &filter).unwrap();
    let counted: u64 = whole.rows.iter().filter_map(|row| row.ends.get("refused")).sum();
    assert_eq!(refused.len(), counted);
    let service: f64 = whole.service.values().map(|service| service.fraction).sum();
    assert!((service - 1.0).abs() < 1e-9);
}

/// No name is left, a name has one pseudonym within a file, and the counts are unchanged.
#[test]
fn an_anonymised_copy_contains_no_names() {
    let file = &traces(1500, 1)[0];
    let mut copy = Vec::new();
    tools::anonymise(&mut open(file), &[7; 32], &mut copy).unwrap();
    let mut seen = BTreeMap::new();
    for (one, other) in open(file).zip(open(&copy)) {
        let (one, other) = (one.unwrap(), other.unwrap());
        if let (Some(Event::RequestReceived(one_taken)), Some(Event::RequestReceived(other_taken))) =
            (&one.record.event, &other.record.event)
        {
            let (name, hidden) = (one.string(one_taken.tenant), other.string(other_taken.tenant));
            assert_eq!(seen.entry(name.to_owned()).or_insert(hidden.to_owned()), hidden);
            assert_eq!(one.string(one_taken.class), other.string(other_taken.class));
        }
        for text in other.strings.all() {
            assert!(!text.contains("council") && !text.starts_with('c') && !text.starts_with('k'), "{text}");
        }
    }
    assert_eq!(seen.len(), 7);
    assert_eq!(seen.values().collect::<BTreeSet<_>>().len(), 7);
    let reader = open(&copy);
    assert_eq!((reader.header().manager.as_str(), reader.header().unix_us), ("anonymous", 0));
    let counts = |file: &[u8]| tools::info(&mut open(file)).unwrap().records_by_tag;
    assert_eq!(counts(file), counts(&copy));
    let mut again = Vec::new();
    tools::anonymise(&mut open(file), &[8; 32], &mut again).unwrap();
    let tenant = |file: &[u8]| tools::summary(&mut open(file)).unwrap().rows[0].tenant.clone();
    assert_ne!(tenant(&copy), tenant(&again), "another secret, other names");
}

/// The records of a request begin with its reception and end with its response.
#[test]
fn each_request_begins_with_its_reception_and_ends_with_its_response() {
    let file = &traces(500, 1)[0];
    let mut stories: BTreeMap<u64, Vec<String>> = BTreeMap::new();
    for (_, request, words) in descriptions(file).0.into_iter().filter(|(_, request, _)| *request > 0) {
        stories.entry(request).or_default().push(words);
    }
    assert!(stories.len() >= 500);
    for (request, story) in stories {
        let (first, last) = (story.first().unwrap(), story.last().unwrap());
        assert!(first.starts_with("taken: ") && last.starts_with("answered: "), "{request}: {story:?}");
    }
    let taken = RequestReceived { class: 1, ..RequestReceived::default() };
    assert_eq!(
        Record { at_us: 0, request: 1, manager: 0, event: Some(Event::RequestReceived(taken)) }.event_tag(),
        3
    );
}

fn traces_with_offsets(offsets_us: &[i64], requests: u64) -> Vec<Vec<u8>> {
    let files: Vec<Shared> = offsets_us.iter().map(|_| Shared::default()).collect();
    let plan = Plan { requests, clock_offsets_us: offsets_us.to_vec(), seed: 9, tenants: 5 };
    generate(&plan, |manager| Ok(files[manager].clone())).unwrap();
    files.into_iter().map(|file| file.0.lock().unwrap().clone()).collect()
}

fn merge_traces(files: &[&Vec<u8>]) -> (Vec<u8>, sanddyke_trace::merge::Merged) {
    let mut out = Vec::new();
    let merged =
        sanddyke_trace::merge::merge(files.len(), |number| Ok(open(files[number])), &mut out).unwrap();
    (out, merged)
}

/// With three clocks that differ by some ms, the true offsets are within the error bounds, a client's attempts and each
/// manager's records are in order, and no record is lost.
#[test]
fn merged_records_are_ordered_and_offsets_are_within_their_bounds() {
    let true_offsets_us = [0, 1_700, -2_300];
    let files = traces_with_offsets(&true_offsets_us, 20_000);
    let (file, merged) = merge_traces(&files.iter().collect::<Vec<_>>());
    for (offset, true_us) in merged.offsets.iter().zip(true_offsets_us) {
        assert!(
            (offset.ahead_us - true_us).abs() <= offset.error_bound_us,
            "{offset:?}, true offset {true_us}"
        );
        assert!(offset.error_bound_us < 1_500, "{offset:?} of {} ties", merged.constraints);
    }
    let records: u64 = files.iter().map(|file| tools::info(&mut open(file)).unwrap().records).sum();
    assert_eq!(merged.records, records);
    let (mut last, mut tries, mut open_keys) = ([i64::MIN; 4], BTreeMap::new(), BTreeMap::new());
    for entry in open(&file) {
        let entry = entry.unwrap();
        let at = &mut last[entry.record.manager as usize];
        assert!(entry.record.at_us >= *at, "each manager's own order stays");
        *at = entry.record.at_us;
        match &entry.record.event {
            Some(Event::RequestReceived(taken)) if taken.key > 0 => {
                let key = entry.string(taken.key).to_owned();
                let before = tries.insert(key.clone(), taken.client_attempt).unwrap_or(0);
                assert_eq!(before + 1, taken.client_attempt, "{key}: a try before the one that it follows");
                open_keys.insert(entry.record.key(), key);
            }
            Some(Event::Response(_)) => drop(open_keys.remove(&entry.record.key())),
            _ => {}
        }
    }
    assert!(open_keys.is_empty());
}

/// The result depends neither on the order of the files nor on which of them were merged before.
#[test]
fn a_merge_does_not_depend_on_the_order_of_the_files() {
    let files = traces_with_offsets(&[0, 900, -1_400], 6_000);
    let [a, b, c] = &files[..] else { panic!() };
    let all = merge_traces(&[a, b, c]).0;
    assert!(merge_traces(&[c, a, b]).0 == all);
    assert!(merge_traces(&[&merge_traces(&[a, b]).0, c]).0 == all);
    assert!(merge_traces(&[a, &merge_traces(&[c, b]).0]).0 == all);
}

/// Files without matching attempts are not merged by a guess, nor is a manager merged with itself.
#[test]
fn unrelated_files_and_duplicate_managers_are_not_merged() {
    let one = &traces_with_offsets(&[0], 50)[0];
    let mut other = Vec::new();
    let header = Header { manager: "m7".to_owned(), ..Header::default() };
    Writer::new(&mut other, header).unwrap().finish().unwrap();
    let try_merge = |files: [&Vec<u8>; 2]| {
        sanddyke_trace::merge::merge(2, |number| Ok(open(files[number])), Vec::new()).unwrap_err().to_string()
    };
    assert!(try_merge([one, &other]).contains("not guessed"), "{}", try_merge([one, &other]));
    assert!(try_merge([one, one]).contains("two of the files"));
}
