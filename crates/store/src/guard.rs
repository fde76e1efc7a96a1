//! redb checks some of a damaged file by assertions. Here such a panic becomes an error, and prints nothing.

use std::cell::Cell;
use std::panic::{AssertUnwindSafe, catch_unwind, set_hook, take_hook};
use std::sync::Once;

thread_local! {
    static GUARDED: Cell<bool> = const { Cell::new(false) };
}

/// Runs something on a file that may be damaged. What was open in it is dropped before this returns, so nothing
/// half can be seen of it afterwards.
pub fn guarded<T>(run: impl FnOnce() -> T) -> Result<T, String> {
    static HOOK: Once = Once::new();
    HOOK.call_once(|| {
        let usual = take_hook();
        set_hook(Box::new(move |panic| {
            if !GUARDED.get() {
                usual(panic);
            }
        }));
    });
    GUARDED.set(true);
    let ran = catch_unwind(AssertUnwindSafe(run));
    GUARDED.set(false);
    ran.map_err(|panic| {
        let said = panic.downcast_ref::<String>().map(String::as_str);
        said.or(panic.downcast_ref::<&str>().copied()).unwrap_or("it can't be read").replace('\n', " ")
    })
}
