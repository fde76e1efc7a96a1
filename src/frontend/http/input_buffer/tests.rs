//! Tests of the receive buffer's memory.

use super::*;

const MAX_BYTES: usize = 80_000;

/// Receives `input` in reads of the buffer's free capacity. Returns the number of bytes that fit into the budget.
fn receive(buffer: &mut InputBuffer, input: usize) -> usize {
    while buffer.bytes.len() < input && buffer.reserve(MAX_BYTES, 0).is_ok() {
        let free = buffer.bytes.capacity() - buffer.bytes.len();
        buffer.bytes.resize(buffer.bytes.len() + free.min(input - buffer.bytes.len()), b'x');
    }
    buffer.bytes.len()
}

/// Guards against clients that make the process hold more than its memory limit in requests that they never complete.
#[test]
fn received_bytes_are_counted_and_bounded_by_the_budget() {
    let budget = MemoryBudget::new(1_000_000);
    let mut buffers: Vec<InputBuffer> = (0..900).map(|_| InputBuffer::new(&budget)).collect();
    for buffer in &mut buffers {
        receive(buffer, MAX_BYTES);
    }
    let capacity: usize = buffers.iter().map(|buffer| buffer.bytes.capacity()).sum();
    assert_eq!(budget.reserved_bytes(), capacity);
    assert!(capacity <= 1_000_000 + 900 * SMALL_CAPACITY, "{capacity}");
    assert!(buffers.iter().all(|buffer| buffer.bytes.len() >= SMALL_CAPACITY), "a usual request fits");
    drop(buffers);
    assert_eq!(budget.reserved_bytes(), 0);
}

/// Guards against idle connections that keep the memory of their longest request.
#[test]
fn a_buffer_without_input_holds_no_memory() {
    let budget = MemoryBudget::new(1_000_000);
    let mut buffer = InputBuffer::new(&budget);
    assert_eq!(receive(&mut buffer, 70_000), 70_000);
    let request = buffer.bytes.split_to(69_990);
    buffer.shrink();
    assert!((10..100).contains(&budget.reserved_bytes()), "{}", budget.reserved_bytes());
    drop(request);
    buffer.clear();
    assert_eq!((budget.reserved_bytes(), buffer.bytes.capacity()), (0, 0));
}
