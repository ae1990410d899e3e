/// The event of a log line, written to the line's `payload` in kebab case.
///
/// An event is a decision of this process, or a change of the observed state that decisions depend
/// on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Decision {
    /// A client's call was answered.
    CallAnswered,
    /// A submission was refused because it can't be served within three times its objective.
    CapacityRefused,
    /// A submission was read from the store.
    JobAccepted,
    /// A cancellation was read from the store.
    JobCancelled,
    /// A job reached a final state that is stored.
    JobEnded,
    /// A run was placed on an executor.
    RunPlaced,
    /// A task or a gang waits for its preferred placement, though it could run elsewhere.
    PlacementWaitStarted,
    /// The wait of a task or a gang for its preferred placement ended.
    PlacementWaitEnded,
    /// An executor accepted a run.
    RunStarted,
    /// A start failed: refused, not sent, or not answered.
    RunNotStarted,
    /// An executor reported the end of a run.
    RunEnded,
    /// An executor reported the end of a run that is no longer placed there, such as one that was
    /// given up as lost.
    RunEndedLate,
    /// A run was lost: its executor is silent, or no longer lists the run.
    RunLost,
    /// A run was ordered to stop.
    RunStopping,
    /// An executor lists a run that the owner does not expect there; the run was ordered to stop.
    StrayRun,
    /// The pace of a filler run was changed.
    RunPaced,
    /// The platform lists a new executor.
    ExecutorListed,
    /// The platform no longer lists an executor.
    ExecutorUnlisted,
    /// An executor started or stopped draining.
    ExecutorPhase,
    /// An executor restarted under the same id.
    ExecutorRestarted,
    /// The session with an executor panicked; another one follows.
    SessionFailed,
    /// An executor does not answer a renewal.
    ExecutorSilent,
    /// The process of an executor has ended without an announced shutdown.
    ExecutorCrashed,
    /// The executors lost under a task are not held against it alone: others were lost at the same time.
    CrashExcused,
    /// A task was given up with its job, because it crashes the executors that start it.
    TaskGivenUp,
    /// A run has outlived the crashes under its task, which count no longer.
    CrashesOutlived,
    /// All leases on an executor have expired without an answer.
    ExecutorLapsed,
    /// An executor gets no new runs until its back-off ends.
    ExecutorRests,
    /// The record of an executor could not be decoded.
    ExecutorUnreadable,
    /// A version of the configuration took effect.
    ConfigInForce,
    /// A version of the configuration could not be decoded.
    ConfigUnreadable,
    /// Operators requested the evacuation of a failure domain: nothing starts there any more.
    EvacuationRequested,
    /// How far an evacuation is; logged on each change of its state, and once a second until the
    /// failure domain is empty.
    EvacuationProgress,
    /// A run without an answer to its start is stopped, because its failure domain is evacuated.
    StartHeldBack,
    /// A run is stopped to continue outside its evacuated failure domain, with its gang.
    RunLeaving,
    /// The evacuation of a failure domain ended.
    EvacuationEnded,
    /// The view of the operators' requests is too old: this owner starts nothing.
    ViewStale,
    /// The view of the operators' requests is recent again.
    ViewFresh,
    /// A record that this service wrote could not be decoded.
    RecordUnreadable,
    /// The progress of a job is too large for one record, and is stored in several ones.
    ProgressSplit,
    /// A checkpoint is too large to be stored with the progress of its job.
    CheckpointNotStored,
    /// The store will never take a record, which is left out so that others can be stored.
    RecordRejected,
    /// An append of an owner failed and is repeated; logged at its first failure.
    AppendRepeated,
    /// The load of a cell; logged once a second.
    CellLoad,
    /// The waiting tasks of a queue by what they can still reach; logged once a second.
    QueueOrder,
    /// This host took over a cell.
    CellClaimed,
    /// This host no longer owns a cell.
    CellReleased,
    /// This owner may no longer start runs and renew leases: its last accepted append is too old.
    RightLost,
    /// This owner may start runs and renew leases again.
    RightRegained,
    /// A cell has a new owner.
    OwnerChanged,
    /// The approval service did not answer.
    AdviceFailed,
    /// The store became unreachable.
    StoreLost,
    /// The store became reachable again.
    StoreRegained,
    /// The store became slow, or fast again.
    StoreSpeed,
    /// The process is starting.
    Started,
    /// The process is stopping.
    Stopping,
    /// The settings file was reloaded.
    Reloaded,
}

/// Logs an event at level info, with the values that led to the decision as key-value pairs.
macro_rules! decided {
    ($decision:expr $(, $key:ident : $value:expr)* $(,)?) => {
        spdlog::info!("{}", $decision, kv: { $($key: = $value),* })
    };
}
pub(crate) use decided;
