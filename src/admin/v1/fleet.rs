//! Calls that read and control the fleet: leases, voters and rolling restarts.

use super::{Answer, Context};
use crate::admin::problem::Problem;
use crate::admin::routes::Route;
use crate::admin::{Admin, Caller};
use crate::cluster::Cluster;
use crate::frontend::http::message::Response;
use sanddyke_authorization::Permission;
use serde_json::json;

/// Problem for a command that the fleet rejected.
fn fleet_conflict(detail: impl ToString) -> Problem {
    Problem::new(409, "fleet", detail.to_string())
}

impl Admin {
    /// Returns the cluster; a problem if none is configured.
    fn fleet(&self) -> Result<&Cluster, Problem> {
        let no_fleet = || Problem::new(409, "no_fleet", "no fleet is set up (cluster)");
        self.cluster.as_ref().ok_or_else(no_fleet)
    }

    /// Returns this manager's view of the fleet.
    pub(super) fn show_fleet(&self, caller: &Caller) -> Answer {
        caller.require(Permission::View)?;
        let view = serde_json::to_string(&*self.fleet()?.view());
        let json = view.map_err(|error| Problem::new(500, "fleet", error.to_string()))?;
        Ok(Response::json(200, json))
    }

    /// Transfers a lease that this manager holds to the next manager in order.
    pub(super) async fn hand_over(&self, caller: &Caller, route: &Route, lease: &str) -> Answer {
        caller.require(Permission::Administer)?;
        self.fleet()?.hand_over(lease).await.map_err(fleet_conflict)?;
        Ok(accepted(caller, route, lease))
    }

    /// Admits a voter whose state file was lost, under its new id.
    pub(super) async fn admit_voter(&self, caller: &Caller, route: &Route, voter: &str) -> Answer {
        caller.require(Permission::Administer)?;
        self.fleet()?.admit(voter).await.map_err(fleet_conflict)?;
        Ok(accepted(caller, route, voter))
    }

    /// Starts a rolling restart. Rejected by builds without the feature `cluster`, which have no fleet.
    pub(super) async fn start_rolling_restart(&self, context: &Context<'_>) -> Answer {
        context.caller.require(Permission::Administer)?;
        #[cfg(feature = "cluster")]
        self.rolling_restart(rolling::start(&context.request.body)?).await?;
        #[cfg(not(feature = "cluster"))]
        self.fleet()?;
        Ok(accepted_call(context))
    }

    /// Pauses, resumes or cancels a rolling restart.
    pub(super) async fn control_rolling_restart(&self, context: &Context<'_>, command: &str) -> Answer {
        context.caller.require(Permission::Administer)?;
        #[cfg(feature = "cluster")]
        self.rolling_restart(rolling::control(command)?).await?;
        #[cfg(not(feature = "cluster"))]
        self.fleet().map(|_| command)?;
        Ok(accepted_call(context))
    }

    #[cfg(feature = "cluster")]
    async fn rolling_restart(
        &self,
        command: crate::cluster::restart_controller::OperatorCommand,
    ) -> Result<(), Problem> {
        crate::cluster::restart_controller::execute(self.fleet()?, command).await.map_err(fleet_conflict)
    }
}

/// Parsing of the commands for rolling restarts.
#[cfg(feature = "cluster")]
mod rolling {
    use crate::admin::bodies::{NewRollingRestart, RollingRestartMode};
    use crate::admin::problem::Problem;
    use crate::admin::v1::json::parse;
    use crate::cluster::restart_controller::OperatorCommand;
    use sanddyke_cluster::rolling_restart::{RestartMode, RestartState};

    pub(super) fn start(body: &[u8]) -> Result<OperatorCommand, Problem> {
        let body: NewRollingRestart = parse(body)?;
        let mode = match body.mode {
            RollingRestartMode::Drain => RestartMode::Drain,
            RollingRestartMode::Restart => RestartMode::Restart,
        };
        Ok(OperatorCommand::Start { mode, max_active: body.max_active.unwrap_or(1) })
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

/// Logs and acknowledges a command on a lease or voter.
fn accepted(caller: &Caller, route: &Route, name: &str) -> Response {
    log::info!(who = caller.id.as_str(); "admin: fleet command accepted: {} for {name}", route.path);
    Response::json(202, json!({ "accepted": name }).to_string())
}

/// Logs and acknowledges a command on a rolling restart.
fn accepted_call(context: &Context<'_>) -> Response {
    let target = &context.request.target;
    log::info!(who = context.caller.id.as_str(); "admin: fleet command accepted: {target}");
    Response::json(202, json!({ "accepted": target }).to_string())
}
