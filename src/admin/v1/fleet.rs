//! Calls on the fleet: leases, voters and rolling restarts.

use super::{Answer, Context};
use crate::admin::problem::Problem;
use crate::admin::routes::Route;
use crate::admin::{Admin, Caller};
use crate::cluster::Cluster;
use crate::frontend::http::message::Response;
use sanddyke_authorization::Permission;
use serde_json::json;

fn rejected(detail: impl ToString) -> Problem {
    Problem::new(409, "fleet", detail.to_string())
}

impl Admin {
    fn fleet(&self) -> Result<&Cluster, Problem> {
        let none = || Problem::new(409, "no_fleet", "no fleet is set up (cluster)");
        self.cluster.as_ref().ok_or_else(none)
    }

    pub(super) fn show_fleet(&self, caller: &Caller) -> Answer {
        caller.require(Permission::View)?;
        let view = serde_json::to_string(&*self.fleet()?.view());
        let view = view.map_err(|error| Problem::new(500, "fleet", error.to_string()))?;
        Ok(Response::json(200, view))
    }

    /// Hands a lease that this manager holds over to the next manager.
    pub(super) async fn hand_over(&self, caller: &Caller, route: &Route, lease: &str) -> Answer {
        caller.require(Permission::Administer)?;
        self.fleet()?.hand_over(lease).await.map_err(rejected)?;
        Ok(accepted(caller, route, lease))
    }

    /// Lets a voter in whose file was lost.
    pub(super) async fn admit_voter(&self, caller: &Caller, route: &Route, voter: &str) -> Answer {
        caller.require(Permission::Administer)?;
        self.fleet()?.admit(voter).await.map_err(rejected)?;
        Ok(accepted(caller, route, voter))
    }

    pub(super) async fn start_rolling_restart(&self, context: &Context<'_>) -> Answer {
        context.caller.require(Permission::Administer)?;
        #[cfg(feature = "cluster")]
        self.rolling_restart(rolling::start(&context.request.body)?).await?;
        #[cfg(not(feature = "cluster"))]
        self.fleet()?;
        Ok(accepted_target(context))
    }

    /// Pauses, resumes or takes back a rolling restart.
    pub(super) async fn control_rolling_restart(&self, context: &Context<'_>, command: &str) -> Answer {
        context.caller.require(Permission::Administer)?;
        #[cfg(feature = "cluster")]
        self.rolling_restart(rolling::control(command)?).await?;
        #[cfg(not(feature = "cluster"))]
        self.fleet().map(|_| command)?;
        Ok(accepted_target(context))
    }

    #[cfg(feature = "cluster")]
    async fn rolling_restart(
        &self,
        command: crate::cluster::restart_controller::OperatorCommand,
    ) -> Result<(), Problem> {
        crate::cluster::restart_controller::execute(self.fleet()?, command).await.map_err(rejected)
    }
}

/// The commands for rolling restarts.
#[cfg(feature = "cluster")]
mod rolling {
    use crate::admin::bodies::{NewRoll, RollHow};
    use crate::admin::problem::Problem;
    use crate::admin::v1::json::parse;
    use crate::cluster::restart_controller::OperatorCommand;
    use sanddyke_cluster::rolling_restart::{RestartMode, RestartState};

    pub(super) fn start(body: &[u8]) -> Result<OperatorCommand, Problem> {
        let body: NewRoll = parse(body)?;
        let mode = match body.how {
            RollHow::Drain => RestartMode::Drain,
            RollHow::Restart => RestartMode::Restart,
        };
        Ok(OperatorCommand::Start { mode, max_active: body.most.unwrap_or(1) })
    }

    pub(super) fn control(command: &str) -> Result<OperatorCommand, Problem> {
        match command {
            "pause" => Ok(OperatorCommand::SetState(RestartState::Paused)),
            "resume" => Ok(OperatorCommand::SetState(RestartState::Running)),
            "take-back" => Ok(OperatorCommand::SetState(RestartState::Cancelling)),
            _ => Err(Problem::new(404, "no_path", "no such path")),
        }
    }
}

fn accepted(caller: &Caller, route: &Route, name: &str) -> Response {
    log::info!(who = caller.id.as_str(); "admin: {} of the fleet: {name}", route.path);
    Response::json(202, json!({ "accepted": name }).to_string())
}

fn accepted_target(context: &Context<'_>) -> Response {
    let target = &context.request.target;
    log::info!(who = context.caller.id.as_str(); "admin: {target} of the fleet");
    Response::json(202, json!({ "accepted": target }).to_string())
}
