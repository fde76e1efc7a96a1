use super::*;

/// The administration API returns these texts since its first version, and operators' tools show them. Guards against
/// an unintended change of a text.
#[test]
fn rejected_commands_have_the_texts_of_the_api() {
    let invalid = InvalidTransition { current: RestartState::Done, requested: RestartState::Cancelling };
    let texts = [
        (
            OperatorCommandError::NotController { holder: Some("m2".to_owned()) },
            "ask the holder of warden: m2",
        ),
        (
            OperatorCommandError::NotController { holder: None },
            "ask the holder of warden: nobody holds it now",
        ),
        (OperatorCommandError::AlreadyOpen, "a roll is open: take it back first"),
        (OperatorCommandError::NoRollingRestart, "there is no roll"),
        (OperatorCommandError::InvalidTransition(invalid), "the roll is Done"),
        (
            OperatorCommandError::TooManyMembers { bytes: 5000 },
            "too many managers for one roll: 5000 bytes of 4096",
        ),
        (OperatorCommandError::NotSaved, "the voters did not take it in time: look whether it was"),
        (OperatorCommandError::Overtaken, "the roll took a step at the same moment: try again"),
    ];
    for (error, text) in texts {
        assert_eq!(error.to_string(), text);
    }
}
