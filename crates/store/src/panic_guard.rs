//! Turns panics into errors: redb checks some of a damaged file by assertions. Such a panic prints nothing.

use std::cell::Cell;
use std::panic::{AssertUnwindSafe, catch_unwind, set_hook, take_hook};
use std::sync::Once;

thread_local! {
    static GUARDED: Cell<bool> = const { Cell::new(false) };
}

/// Runs a function on a file that may be damaged; a panic is returned as its message. What the function had open is
/// dropped before this returns, so that nothing inconsistent of it can be seen afterwards.
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
        message.or(panic.downcast_ref::<&str>().copied()).unwrap_or("it can't be read").replace('\n', " ")
    })
}
