//! Converts panics to errors. redb checks parts of a file by assertions, so that a corrupted file can cause a panic. The
//! message of such a panic is not printed.

use std::cell::Cell;
use std::panic::{AssertUnwindSafe, catch_unwind, set_hook, take_hook};
use std::sync::Once;

thread_local! {
    static GUARDED: Cell<bool> = const { Cell::new(false) };
}

/// Runs a function on a file that may be corrupted. If it panics, returns the message of the panic. Values that the
/// function had open are dropped by then, so that no inconsistent value remains visible.
pub fn guarded<T>(run: impl FnOnce() -> T) -> Result<T, String> {
    static HOOK: Once = Once::new();
    HOOK.call_once(|| {
        let default_hook = take_hook();
        set_hook(Box::new(move |panic| {
            if !GUARDED.get() {
                default_hook(panic);
            }
        }));
    });
    GUARDED.set(true);
    let result = catch_unwind(AssertUnwindSafe(run));
    GUARDED.set(false);
    result.map_err(|panic| {
        let message = panic.downcast_ref::<String>().map(String::as_str);
        message
            .or(panic.downcast_ref::<&str>().copied())
            .unwrap_or("reading it panicked without a message")
            .replace('\n', " ")
    })
}
