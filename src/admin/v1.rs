//! The calls of version 1: each says what it needs of the caller's token, then does its work.

use super::problem::Problem;
use super::routes::{Call, Route};
use super::{Admin, Caller};
use crate::cluster::Cluster;
use crate::core::{Input, TenantReport};
use crate::frontend::http::message::{Request, Response};
use crate::tenants::{ChangeEvent, ChangeOutcome, ChangeRequest};
use sanddyke_authorization::{Grant, Permission, Role, Token, digest};
use sanddyke_store::{AuditAction, AuditEntry};
use sanddyke_tenancy::{
    Change, Document, Generation, GroupSpec, Plan, State, Subject, Tenant, TenantId, TenantSpec,
};
use schemars::JsonSchema;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::time::Instant;

/// Entries of a page, at most and where the caller does not say.
const PAGE: (usize, usize) = (1000, 100);
/// The longest wait for a change, and the wait where the caller does not say.
const WATCH_MS: (u64, u64) = (25_000, 10_000);
/// Callers that may wait for changes at once: the others' places are for calls that are answered at once.
const MOST_WATCHERS: usize = 6;
/// Shares named in what a dry run tells.
const MOST_MOVED: usize = 1000;
/// The longest key of a creation.
const LONGEST_KEY: usize = 128;

/// A tenant to be made.
#[derive(Debug, Deserialize, JsonSchema)]
#[allow(dead_code)] // the document's shape; it is read in two steps, so that no unknown key passes
pub struct NewTenant {
    /// Its name: 1 to 64 of `A-Z a-z 0-9 . _ -`, the first a letter or digit.
    name: String,
    #[serde(flatten)]
    spec: TenantSpec,
}

/// A group to be made.
#[derive(Debug, Deserialize, JsonSchema)]
#[allow(dead_code)]
pub struct NewGroup {
    /// Its name, as tenants' are.
    name: String,
    #[serde(flatten)]
    spec: GroupSpec,
}

/// A token to be made.
#[derive(Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct NewToken {
    role: Role,
    /// Names of the tenants that a tenant administrator is bound to.
    #[serde(default)]
    tenants: BTreeSet<String>,
    /// Words of the operators' own.
    #[serde(default)]
    note: String,
    /// When it ends (Unix time, ms); never where it is absent.
    expires_ms: Option<u64>,
}

/// How a token is rotated.
#[derive(Debug, Default, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Rotation {
    /// How long the old secret is taken still (ms); a day at most.
    overlap_ms: u64,
}

/// A roll to be begun.
#[cfg_attr(not(feature = "cluster"), allow(dead_code))]
#[derive(Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct NewRoll {
    /// `drain` or `restart`: a restart needs something that starts a manager again when it has ended.
    how: RollHow,
    /// Managers at once, all of one zone: 1 where it is absent.
    most: Option<usize>,
}

/// What a roll does to each manager.
#[derive(Debug, Clone, Copy, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum RollHow {
    /// It is drained, and goes back to work.
    Drain,
    /// It is drained and ends.
    Restart,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Query {
    limit: Option<usize>,
    cursor: Option<u64>,
    state: Option<State>,
    group: Option<String>,
    tenant: Option<String>,
    dry_run: bool,
    prune: bool,
    after: Option<u64>,
    wait_ms: Option<u64>,
}

type Answer = Result<Response, Problem>;

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Problem> {
    let body = if body.is_empty() { b"{}" } else { body };
    serde_json::from_slice(body).map_err(|error| Problem::new(400, "body", error.to_string()))
}

/// A specification whose values can be used, or which can't.
fn typed<T: DeserializeOwned>(value: Value) -> Result<T, Problem> {
    serde_json::from_value(value).map_err(|error| Problem::new(422, "invalid", error.to_string()))
}

/// The name and the rest of a body.
fn named<T: DeserializeOwned>(body: &[u8]) -> Result<(String, T), Problem> {
    let mut value: serde_json::Map<String, Value> = parse(body)?;
    let name = value.remove("name");
    let name =
        name.as_ref().and_then(Value::as_str).ok_or_else(|| Problem::new(422, "invalid", "name: missing"))?;
    Ok((name.to_owned(), typed(Value::Object(value))?))
}

/// A specification after a merge patch (RFC 7396).
fn merged<T: Serialize + DeserializeOwned>(spec: &T, body: &[u8]) -> Result<T, Problem> {
    let patch: serde_json::Map<String, Value> = parse(body)?;
    let mut value =
        serde_json::to_value(spec).map_err(|error| Problem::new(500, "body", error.to_string()))?;
    json_patch::merge(&mut value, &Value::Object(patch));
    typed(value)
}

fn query(request: &Request, route: &Route) -> Result<Query, Problem> {
    let text = request.target.split_once('?').map_or("", |(_, query)| query);
    let wrong = |why: String| Problem::new(400, "query", why);
    let pairs: Vec<(String, String)> =
        serde_urlencoded::from_str(text).map_err(|error| wrong(error.to_string()))?;
    let mut keys = BTreeSet::new();
    for (key, _) in &pairs {
        if !route.query.split_whitespace().any(|known| known == key) {
            return Err(wrong(format!("unknown key {key:?}")));
        }
        if !keys.insert(key) {
            return Err(wrong(format!("{key} is there twice")));
        }
    }
    serde_urlencoded::from_str(text).map_err(|error| wrong(error.to_string()))
}

fn page(query: &Query) -> Result<usize, Problem> {
    match query.limit.unwrap_or(PAGE.1) {
        limit if (1..=PAGE.0).contains(&limit) => Ok(limit),
        _ => Err(Problem::new(400, "query", format!("limit must be from 1 to {}", PAGE.0))),
    }
}

/// The generation that the caller has seen: none where it says `*`.
fn if_match(request: &Request) -> Result<Option<Option<Generation>>, Problem> {
    let Some(told) = request.field("If-Match") else { return Ok(None) };
    if told.trim() == "*" {
        return Ok(Some(None));
    }
    let number = told.trim().strip_prefix('"').and_then(|told| told.strip_suffix('"'));
    let number = number.and_then(|number| number.parse().ok());
    let wrong = || Problem::new(400, "if_match", "If-Match must be * or one entity tag, as \"12\"");
    number.map(|number| Some(Some(Generation(number)))).ok_or_else(wrong)
}

fn tagged(status: u16, generation: Generation, body: Value) -> Response {
    Response::json(status, body.to_string()).with("ETag", format!("\"{}\"", generation.0))
}

fn not_found(what: &str) -> Problem {
    Problem::new(404, "not_found", format!("no {what} of this name"))
}

fn token_json(token: &Token) -> Value {
    json!({
        "id": token.id, "role": token.grant.role, "tenants": token.grant.tenants, "note": token.grant.note,
        "created_ms": token.created_ms, "expires_ms": token.grant.expires_ms,
        "old_secret_until_ms": token.previous.as_ref().map(|previous| previous.until_ms),
    })
}

fn seen_json(seen: &ChangeEvent) -> Value {
    json!({ "at_ms": seen.at_ms, "who": seen.who, "record": seen.record })
}

fn tenant_json(tenant: &Tenant, share: f64, usage: Option<&TenantReport>) -> Value {
    // A tenant always has a JSON form.
    let mut value = serde_json::to_value(tenant).unwrap_or_default();
    value["share"] = json!(share);
    value["usage"] = usage.map_or(
        Value::Null,
        |usage| json!({ "open": usage.open, "attempts": usage.attempts, "refused": usage.refused }),
    );
    value
}

impl Caller {
    fn need(&self, act: Permission) -> Result<(), Problem> {
        match self.grant.allows(act) {
            true => Ok(()),
            false => Err(Problem::new(403, "forbidden", "this token's role does not allow that")),
        }
    }

    /// Refuses as if nothing were there: a token of one tenant learns of no other, not even its name.
    fn need_tenant(&self, act: fn(TenantId) -> Permission, id: TenantId) -> Result<(), Problem> {
        match (self.grant.allows(act(id)), self.grant.allows(Permission::SeeTenant(id))) {
            (true, _) => Ok(()),
            (false, true) => self.need(act(id)),
            (false, false) => Err(not_found("tenant")),
        }
    }
}

impl Admin {
    /// Does what a call asks for.
    pub(super) async fn v1(&self, caller: &Caller, request: &Request, route: &Route, name: &str) -> Answer {
        let query = query(request, route)?;
        match route.call {
            Call::Myself => Ok(Response::json(
                200,
                json!({ "id": caller.id, "role": caller.grant.role, "tenants": caller.grant.tenants })
                    .to_string(),
            )),
            Call::ListTenants => self.list_tenants(caller, &query).await,
            Call::GetTenant => self.tenant(caller, 200, name).await,
            Call::CreateTenant => {
                caller.need(Permission::Change)?;
                let (name, spec) = named(&request.body)?;
                self.create(caller, request, &query, Change::CreateTenant { name, spec }).await
            }
            Call::PatchTenant => {
                let known = self.known(caller, name, Permission::RunTenant).await?;
                let spec: TenantSpec = merged(&known.spec, &request.body)?;
                let labels_only =
                    TenantSpec { labels: known.spec.labels.clone(), ..spec.clone() } == known.spec;
                if !labels_only {
                    caller.need(Permission::Change)?;
                }
                let change = Change::SetTenant { name: name.to_owned(), spec };
                self.change(caller, request, &query, change, Some(known.generation)).await
            }
            Call::RemoveTenant => {
                let known = self.known(caller, name, |_| Permission::Change).await?;
                let change = Change::RemoveTenant { name: name.to_owned() };
                self.change(caller, request, &query, change, Some(known.generation)).await
            }
            Call::SuspendTenant => self.move_to(caller, request, &query, name, State::Suspended).await,
            Call::ResumeTenant => self.move_to(caller, request, &query, name, State::Active).await,
            Call::DrainTenant => self.move_to(caller, request, &query, name, State::Draining).await,
            Call::ListGroups => {
                caller.need(Permission::See)?;
                let (groups, generation) = self
                    .tenant_service
                    .read(|state| {
                        (state.registry.groups().cloned().collect::<Vec<_>>(), state.registry.generation())
                    })
                    .await;
                Ok(tagged(200, generation, json!({ "groups": groups, "generation": generation })))
            }
            Call::GetGroup => self.group(caller, 200, name).await,
            Call::CreateGroup => {
                caller.need(Permission::Change)?;
                let (name, spec) = named(&request.body)?;
                self.create(caller, request, &query, Change::CreateGroup { name, spec }).await
            }
            Call::PatchGroup => {
                caller.need(Permission::Change)?;
                let group = self.tenant_service.read(|state| state.registry.group(name).cloned()).await;
                let group = group.ok_or_else(|| not_found("group"))?;
                let spec = merged(&group.spec, &request.body)?;
                let change = Change::SetGroup { name: name.to_owned(), spec };
                self.change(caller, request, &query, change, Some(group.generation)).await
            }
            Call::RemoveGroup => {
                caller.need(Permission::Change)?;
                let change = Change::RemoveGroup { name: name.to_owned() };
                self.change(caller, request, &query, change, None).await
            }
            Call::Shares => {
                caller.need(Permission::See)?;
                let (shares, generation) = self
                    .tenant_service
                    .read(|state| {
                        let tenants = state.registry.tenants();
                        let shares: BTreeMap<String, f64> = tenants
                            .map(|tenant| {
                                (tenant.name.clone(), state.shares.get(&tenant.id).copied().unwrap_or(0.0))
                            })
                            .collect();
                        (shares, state.registry.generation())
                    })
                    .await;
                Ok(tagged(200, generation, json!({ "shares": shares, "generation": generation })))
            }
            Call::ListTokens => {
                caller.need(Permission::Govern)?;
                let tokens: Vec<Value> =
                    self.tenant_service.read(|state| state.tokens.iter().map(token_json).collect()).await;
                Ok(Response::json(200, json!({ "tokens": tokens }).to_string()))
            }
            Call::CreateToken => self.create_token(caller, request).await,
            Call::RotateToken => {
                caller.need(Permission::Govern)?;
                let told: Rotation = parse(&request.body)?;
                let (token, secret) = self.tenant_service.rotate(&caller.id, name, told.overlap_ms).await?;
                Ok(secret_response(200, &token, &secret))
            }
            Call::RemoveToken => {
                caller.need(Permission::Govern)?;
                self.tenant_service.revoke(&caller.id, name).await?;
                Ok(Response::json(200, json!({ "removed": name }).to_string()))
            }
            Call::Audit => self.audit(caller, &query).await,
            Call::Watch => self.watch(caller, &query).await,
            Call::Engines => {
                caller.need(Permission::See)?;
                let report = self.handle.inspect().await?;
                Ok(Response::json(200, json!({ "engines": report.engines }).to_string()))
            }
            Call::Requests => {
                let own = self.own_names(caller).await;
                let mut report = self.handle.inspect().await?;
                if let Some(own) = own {
                    report
                        .requests
                        .retain(|open| open.tenant.as_ref().is_some_and(|name| own.contains(name)));
                }
                Ok(Response::json(200, json!({ "requests": report.requests }).to_string()))
            }
            Call::CancelRequest => self.cancel(caller, name).await,
            Call::Backup => {
                caller.need(Permission::Govern)?;
                let path = self.tenant_service.backup().await?;
                Ok(Response::json(201, json!({ "path": path }).to_string()))
            }
            Call::Export => {
                caller.need(Permission::Govern)?;
                let document = self.tenant_service.read(|state| Document::of(&state.registry)).await;
                let text = toml::to_string(&document);
                let text = text.map_err(|error| Problem::new(500, "export", error.to_string()))?;
                Ok(Response::of(200, "application/toml", text))
            }
            Call::Import => self.import(caller, request, &query).await,
            Call::Fleet => {
                caller.need(Permission::See)?;
                let view = serde_json::to_string(&*self.fleet()?.view());
                let view = view.map_err(|error| Problem::new(500, "fleet", error.to_string()))?;
                Ok(Response::json(200, view))
            }
            Call::Roll | Call::TurnRoll => {
                caller.need(Permission::Govern)?;
                self.roll(route.call, request, name).await?;
                log::info!(who = caller.id.as_str(); "admin: {} of the fleet", request.target);
                Ok(Response::json(202, json!({ "accepted": request.target }).to_string()))
            }
            Call::HandOver | Call::Admit => {
                caller.need(Permission::Govern)?;
                let fleet = self.fleet()?;
                let done = match route.call {
                    Call::HandOver => fleet.hand_over(name).await,
                    _ => fleet.admit(name).await,
                };
                done.map_err(|error| Problem::new(409, "fleet", error.to_string()))?;
                log::info!(who = caller.id.as_str(); "admin: {} of the fleet: {name}", route.path);
                Ok(Response::json(202, json!({ "accepted": name }).to_string()))
            }
        }
    }

    /// An operator's word on a roll.
    #[cfg(feature = "cluster")]
    async fn roll(&self, call: Call, request: &Request, word: &str) -> Result<(), Problem> {
        use crate::cluster::restart_controller::{self, OperatorCommand};
        use sanddyke_cluster::rolling_restart::{RestartMode, RestartState};
        let command = match (call, word) {
            (Call::Roll, _) => {
                let told: NewRoll = parse(&request.body)?;
                let mode = match told.how {
                    RollHow::Drain => RestartMode::Drain,
                    RollHow::Restart => RestartMode::Restart,
                };
                OperatorCommand::Start { mode, max_active: told.most.unwrap_or(1) }
            }
            (_, "pause") => OperatorCommand::SetState(RestartState::Paused),
            (_, "resume") => OperatorCommand::SetState(RestartState::Running),
            (_, "take-back") => OperatorCommand::SetState(RestartState::Cancelling),
            _ => return Err(Problem::new(404, "no_path", "no such path")),
        };
        restart_controller::execute(self.fleet()?, command)
            .await
            .map_err(|error| Problem::new(409, "fleet", error.to_string()))
    }

    #[cfg(not(feature = "cluster"))]
    async fn roll(&self, _: Call, _: &Request, _: &str) -> Result<(), Problem> {
        self.fleet().map(|_| ())
    }

    fn fleet(&self) -> Result<&Cluster, Problem> {
        let none = || Problem::new(409, "no_fleet", "no fleet is set up (cluster)");
        self.cluster.as_ref().ok_or_else(none)
    }

    /// The names of the tenants that the caller sees; `None` for all.
    async fn own_names(&self, caller: &Caller) -> Option<BTreeSet<String>> {
        if caller.grant.role != Role::TenantAdmin {
            return None;
        }
        let ids = &caller.grant.tenants;
        let names = |state: &crate::tenants::State| {
            let own = ids.iter().filter_map(|id| state.registry.by_id(*id));
            own.map(|tenant| tenant.name.clone()).collect()
        };
        Some(self.tenant_service.read(names).await)
    }

    async fn known(
        &self,
        caller: &Caller,
        name: &str,
        act: fn(TenantId) -> Permission,
    ) -> Result<Tenant, Problem> {
        let tenant = self.tenant_service.read(|state| state.registry.tenant(name).cloned()).await;
        let tenant = tenant.ok_or_else(|| not_found("tenant"))?;
        caller.need_tenant(act, tenant.id)?;
        Ok(tenant)
    }

    async fn list_tenants(&self, caller: &Caller, query: &Query) -> Answer {
        let limit = page(query)?;
        let after = TenantId(query.cursor.unwrap_or(0));
        let fits = |tenant: &&Tenant| {
            caller.grant.allows(Permission::SeeTenant(tenant.id))
                && query.state.is_none_or(|state| tenant.state == state)
                && query.group.as_ref().is_none_or(|group| tenant.spec.group.as_ref() == Some(group))
        };
        let (found, generation) = self
            .tenant_service
            .read(|state| {
                let found = state.registry.tenants_after(after).filter(fits).take(limit + 1);
                let share = |id| state.shares.get(&id).copied().unwrap_or(0.0);
                let found: Vec<(Tenant, f64)> = found.map(|one| (one.clone(), share(one.id))).collect();
                (found, state.registry.generation())
            })
            .await;
        let more = found.len() > limit;
        let found = &found[..found.len().min(limit)];
        let usage = self.handle.usage(found.iter().map(|(tenant, _)| tenant.id).collect()).await?;
        let tenants = found.iter().map(|(tenant, share)| tenant_json(tenant, *share, usage.get(&tenant.id)));
        let next = found.last().filter(|_| more).map(|(tenant, _)| tenant.id.0.to_string());
        let body = json!({ "tenants": tenants.collect::<Vec<_>>(), "next": next, "generation": generation });
        Ok(tagged(200, generation, body))
    }

    async fn tenant(&self, caller: &Caller, status: u16, name: &str) -> Answer {
        let tenant = self.known(caller, name, Permission::SeeTenant).await?;
        let share =
            self.tenant_service.read(|state| state.shares.get(&tenant.id).copied().unwrap_or(0.0)).await;
        let usage = self.handle.usage(vec![tenant.id]).await?;
        let body = tenant_json(&tenant, share, usage.get(&tenant.id));
        Ok(tagged(status, tenant.generation, body))
    }

    async fn group(&self, caller: &Caller, status: u16, name: &str) -> Answer {
        caller.need(Permission::See)?;
        let found = self.tenant_service.read(|state| {
            let group = state.registry.group(name).cloned()?;
            let members =
                state.registry.tenants().filter(|tenant| tenant.spec.group.as_deref() == Some(name));
            let (count, share) = members.fold((0, 0.0), |(count, share), tenant| {
                (count + 1, share + state.shares.get(&tenant.id).copied().unwrap_or(0.0))
            });
            Some((group, count, share))
        });
        let (group, members, share) = found.await.ok_or_else(|| not_found("group"))?;
        let mut body = serde_json::to_value(&group).unwrap_or_default();
        (body["members"], body["share"]) = (json!(members), json!(share));
        Ok(tagged(status, group.generation, body))
    }

    async fn subject(&self, caller: &Caller, status: u16, subject: &Subject) -> Answer {
        match subject {
            Subject::Tenant(name) => self.tenant(caller, status, name).await,
            Subject::Group(name) => self.group(caller, status, name).await,
        }
    }

    async fn create(&self, caller: &Caller, request: &Request, query: &Query, change: Change) -> Answer {
        let key = match request.field("Idempotency-Key") {
            Some(key)
                if key.is_empty()
                    || key.len() > LONGEST_KEY
                    || !key.chars().all(|c| c.is_ascii_graphic()) =>
            {
                return Err(Problem::new(
                    400,
                    "idempotency_key",
                    "Idempotency-Key: 1 to 128 plain characters",
                ));
            }
            Some(key) => Some((key.to_owned(), digest(&format!("{change:?}")))),
            None => None,
        };
        let subject = change.subject();
        let wish = ChangeRequest { who: caller.id.clone(), changes: vec![change], expected: None, key };
        if query.dry_run {
            return self.told(self.tenant_service.plan(&wish).await?).await;
        }
        match self.tenant_service.change(wish).await? {
            ChangeOutcome::Applied(_) => self.subject(caller, 201, &subject).await,
            ChangeOutcome::AlreadyApplied(_) => {
                let response = self.subject(caller, 201, &subject).await?;
                Ok(response.with("Idempotent-Replayed", "true".to_owned()))
            }
        }
    }

    /// Makes a change of what is there. `seen` is the generation that the change was worked out from: where the
    /// caller names none, another change must not come between.
    async fn change(
        &self,
        caller: &Caller,
        request: &Request,
        query: &Query,
        change: Change,
        seen: Option<Generation>,
    ) -> Answer {
        let told = if_match(request)?;
        let needs = matches!(
            change,
            Change::SetTenant { .. }
                | Change::SetGroup { .. }
                | Change::RemoveTenant { .. }
                | Change::RemoveGroup { .. }
        );
        if needs && told.is_none() && !query.dry_run {
            let why = "If-Match is needed: the ETag that you have seen, or * to change whatever is there";
            return Err(Problem::new(428, "if_match", why));
        }
        let subject = change.subject();
        let removes = matches!(change, Change::RemoveTenant { .. } | Change::RemoveGroup { .. });
        let expected = told.flatten().or(seen).map(|generation| (subject.clone(), generation));
        let wish = ChangeRequest { who: caller.id.clone(), changes: vec![change], expected, key: None };
        if query.dry_run {
            return self.told(self.tenant_service.plan(&wish).await?).await;
        }
        self.tenant_service.change(wish).await?;
        if removes {
            return Ok(Response::json(200, json!({ "removed": subject.name() }).to_string()));
        }
        self.subject(caller, 200, &subject).await
    }

    async fn move_to(
        &self,
        caller: &Caller,
        request: &Request,
        query: &Query,
        name: &str,
        to: State,
    ) -> Answer {
        self.known(caller, name, |_| Permission::Change).await?;
        let change = Change::MoveTenant { name: name.to_owned(), to };
        self.change(caller, request, query, change, None).await
    }

    /// What a dry run tells: everyone's effective share that would be another.
    async fn told(&self, plan: Plan) -> Answer {
        let names = self.tenant_service.read(|state| {
            let name = |id: &TenantId| {
                let tenant = plan.after.by_id(*id).or_else(|| state.registry.by_id(*id));
                tenant.map_or(String::new(), |tenant| tenant.name.clone())
            };
            let moved = plan.moved.iter().take(MOST_MOVED);
            let moved: Vec<Value> = moved
                .map(|(id, (before, after))| json!({ "tenant": name(id), "before": before, "after": after }))
                .collect();
            moved
        });
        let shares = names.await;
        let body = json!({
            "dry_run": true, "changes": plan.records.len(), "generation": plan.after.generation(),
            "shares_changed": plan.moved.len(), "shares": shares,
        });
        Ok(Response::json(200, body.to_string()))
    }

    async fn create_token(&self, caller: &Caller, request: &Request) -> Answer {
        caller.need(Permission::Govern)?;
        let told: NewToken = parse(&request.body)?;
        let mut tenants = BTreeSet::new();
        for name in &told.tenants {
            let id =
                self.tenant_service.read(|state| state.registry.tenant(name).map(|tenant| tenant.id)).await;
            tenants.insert(id.ok_or_else(|| not_found("tenant"))?);
        }
        let grant = Grant { role: told.role, tenants, note: told.note, expires_ms: told.expires_ms };
        let (token, secret) = self.tenant_service.issue(&caller.id, grant).await?;
        Ok(secret_response(201, &token, &secret))
    }

    async fn audit(&self, caller: &Caller, query: &Query) -> Answer {
        let limit = page(query)?;
        let wanted = match &query.tenant {
            Some(name) => Some(self.known(caller, name, Permission::SeeTenant).await?.id),
            None => None,
        };
        let grant = caller.grant.clone();
        let fits = move |entry: &AuditEntry| match &entry.what {
            AuditAction::Registry { record } => {
                let allowed = match record.tenant {
                    Some(id) => grant.allows(Permission::SeeTenant(id)),
                    None => grant.allows(Permission::See),
                };
                allowed && wanted.is_none_or(|wanted| record.tenant == Some(wanted))
            }
            AuditAction::Token { .. } => grant.allows(Permission::Govern) && wanted.is_none(),
        };
        let before = query.cursor.unwrap_or(u64::MAX);
        let entries = self.tenant_service.audit(before, limit, fits).await?;
        let next = entries.last().filter(|_| entries.len() == limit).map(|entry| entry.number.to_string());
        Ok(Response::json(200, json!({ "entries": entries, "next": next }).to_string()))
    }

    async fn watch(&self, caller: &Caller, query: &Query) -> Answer {
        let _place = self.watchers.clone().try_acquire_owned().map_err(|_| Problem {
            retry_after_ms: Some(1000),
            ..Problem::new(429, "watchers", format!("{MOST_WATCHERS} callers wait for changes already"))
        })?;
        let now = self.tenant_service.read(|state| state.registry.generation()).await;
        let mut after = query.after.map_or(now, Generation);
        let until =
            Instant::now() + Duration::from_millis(query.wait_ms.unwrap_or(WATCH_MS.1).min(WATCH_MS.0));
        loop {
            let seen = self.tenant_service.read(|state| {
                let fits = |seen: &&ChangeEvent| match seen.record.tenant {
                    Some(id) => caller.grant.allows(Permission::SeeTenant(id)),
                    None => caller.grant.allows(Permission::See),
                };
                let changes = state.since(after)?.filter(fits).take(PAGE.0).map(seen_json);
                Some((changes.collect::<Vec<_>>(), state.registry.generation()))
            });
            let gone =
                || Problem::new(410, "gone", "changes after that generation are not at hand: list anew");
            let (changes, latest) = seen.await.ok_or_else(gone)?;
            let left = until.saturating_duration_since(Instant::now());
            if !changes.is_empty() || left.is_zero() || self.lifecycle.is_shutting_down() {
                let full = changes.len() == PAGE.0;
                let last = changes.last().and_then(|last| last["record"]["generation"].as_u64());
                let next = last.filter(|_| full).unwrap_or(latest.0);
                return Ok(Response::json(200, json!({ "changes": changes, "next": next }).to_string()));
            }
            // What came was not the caller's to see: it waits on from there.
            after = latest;
            self.tenant_service.wait_after(latest, left).await;
        }
    }

    async fn cancel(&self, caller: &Caller, name: &str) -> Answer {
        let report = self.handle.inspect().await?;
        let missing = || not_found("open request");
        let open = report.requests.iter().find(|open| open.name == name).ok_or_else(missing)?;
        let tenant = open.tenant.clone().unwrap_or_default();
        let id =
            self.tenant_service.read(|state| state.registry.tenant(&tenant).map(|tenant| tenant.id)).await;
        match id {
            Some(id) if !caller.grant.allows(Permission::SeeTenant(id)) => return Err(missing()),
            Some(id) => caller.need(Permission::RunTenant(id))?,
            None => caller.need(Permission::Change)?,
        }
        self.handle.notify(Input::CancelRequested(open.id)).await?;
        log::info!(who = caller.id.as_str(); "admin: request {name} cancelled");
        Ok(Response::json(200, json!({ "cancelled": name }).to_string()))
    }

    async fn import(&self, caller: &Caller, request: &Request, query: &Query) -> Answer {
        caller.need(Permission::Govern)?;
        let text = std::str::from_utf8(&request.body);
        let wrong = |why: String| Problem::new(422, "invalid", why);
        let text = text.map_err(|error| wrong(error.to_string()))?;
        let document: Document = toml::from_str(text).map_err(|error| wrong(error.to_string()))?;
        if document.format != sanddyke_tenancy::FORMAT {
            return Err(wrong(format!("format: must be {}", sanddyke_tenancy::FORMAT)));
        }
        // Worked out from what is there now: where another change comes between, some would not fit.
        let changes = self.tenant_service.read(|state| document.changes(&state.registry, query.prune)).await;
        let many = changes.len();
        let wish = ChangeRequest { who: caller.id.clone(), changes, expected: None, key: None };
        if query.dry_run {
            return self.told(self.tenant_service.plan(&wish).await?).await;
        }
        if many > 0 {
            self.tenant_service.change(wish).await?;
        }
        Ok(Response::json(200, json!({ "changes": many }).to_string()))
    }
}

fn secret_response(status: u16, token: &Token, secret: &str) -> Response {
    let mut body = token_json(token);
    body["secret"] = json!(secret);
    Response::json(status, body.to_string()).with("Cache-Control", "no-store".to_owned())
}

/// Places for callers that wait for changes.
pub(super) fn watchers() -> std::sync::Arc<tokio::sync::Semaphore> {
    std::sync::Arc::new(tokio::sync::Semaphore::new(MOST_WATCHERS))
}
