import { match } from "ts-pattern";
import { isSameVersion } from "../configuration/is_same_version.ts";
import type { OwnState } from "../peers/own_state.ts";
import { advanceCandidate } from "./advance_candidate.ts";
import { handleRequest } from "./handle_request.ts";
import { applyCandidate } from "./apply_candidate.ts";
import { requestConfirmation } from "./request_confirmation.ts";
import { CandidateStage } from "./candidate_stage.ts";
import { chainSteps } from "./chain_steps.ts";
import { updateStartup } from "./update_startup.ts";
import type { DistributionContext } from "./distribution_context.ts";
import type { DistributionEvent } from "./distribution_event.ts";
import { DistributionEventKind } from "./distribution_event_kind.ts";
import type { DistributionState } from "./distribution_state.ts";
import { updateOwnRecord } from "./update_own_record.ts";
import { recordPlatformConfirmation } from "./record_platform_confirmation.ts";
import { pushChanges } from "./push_changes.ts";
import { runDueTasks } from "./run_due_tasks.ts";
import { evaluateConfirmation } from "./evaluate_confirmation.ts";
import { startPull } from "./start_pull.ts";
import { createTransition } from "./create_transition.ts";
import { handlePeerResponse } from "./handle_peer_response.ts";
import { handlePeerCallFailure } from "./handle_peer_call_failure.ts";
import { handlePlatformResponse } from "./handle_platform_response.ts";
import { handlePlatformFailure } from "./handle_platform_failure.ts";
import { handleVmList } from "./handle_vm_list.ts";
import type { Transition } from "./transition.ts";
import type { Version } from "../configuration/version.ts";

/**
 * Handles one event and returns the next state and the effects. Pure except for
 * the random numbers that it draws: the same state, event, instant and numbers
 * give the same result.
 */
export function stepDistribution(
  state: DistributionState,
  event: DistributionEvent,
  context: DistributionContext,
): Transition {
  return chainSteps(state, [
    (current) => handleEvent(current, event, context),
    (current) => createTransition(updateStartup(current, context)),
    (current) => startPull(current, context),
    (current) => advanceCandidate(current, context),
    (current) => evaluateConfirmation(current, context),
  ]);
}

function handleEvent(
  state: DistributionState,
  event: DistributionEvent,
  context: DistributionContext,
): Transition {
  return match(event)
    .with(
      { kind: DistributionEventKind.Started },
      { kind: DistributionEventKind.DeadlineReached },
      () => runDueTasks(state, context),
    )
    .with(
      { kind: DistributionEventKind.OwnStateChanged },
      ({ ownState }) => handleOwnStateChange(state, ownState, context),
    )
    .with(
      { kind: DistributionEventKind.RequestReceived },
      ({ request, requestIdentifier }) =>
        handleRequest(state, request, { requestIdentifier, context }),
    )
    .with(
      { kind: DistributionEventKind.PeerResponseReceived },
      ({ call, answer }) =>
        handlePeerResponse(state, call, { answer, context }),
    )
    .with(
      { kind: DistributionEventKind.PeerCallFailed },
      ({ call }) => handlePeerCallFailure(state, call, context),
    )
    .with(
      { kind: DistributionEventKind.PlatformResponseReceived },
      (response) => handlePlatformResponse(state, response, context),
    )
    .with(
      { kind: DistributionEventKind.PlatformFailed },
      ({ reason, forConfirmation }) =>
        forConfirmation
          ? createTransition(
            recordPlatformConfirmation(state, { hasResponded: false }, context),
          )
          : handlePlatformFailure(state, reason, context),
    )
    .with(
      { kind: DistributionEventKind.VmsListed },
      ({ vms }) => createTransition(handleVmList(state, vms, context)),
    )
    .with(
      { kind: DistributionEventKind.VmListFailed },
      () => createTransition(handleVmList(state, undefined, context)),
    )
    .with(
      { kind: DistributionEventKind.SnapshotPrepared },
      ({ version }) => handleSnapshotPrepared(state, version, context),
    )
    .with(
      { kind: DistributionEventKind.ViewConfirmationRequested },
      () => requestConfirmation(state, context),
    )
    .with(
      { kind: DistributionEventKind.StopRequested },
      () => pushChanges({ ...state, stopping: true }, context),
    )
    .exhaustive();
}

/**
 * Updates this node's record. If the node or its backend server changes state,
 * the change is pushed to some peers immediately.
 */
function handleOwnStateChange(
  state: DistributionState,
  ownState: OwnState,
  context: DistributionContext,
): Transition {
  const updated = updateOwnRecord(state, ownState, context);
  return updated.peers.own.sequence === state.peers.own.sequence
    ? createTransition(updated)
    : pushChanges(updated, context);
}

function handleSnapshotPrepared(
  state: DistributionState,
  version: Version,
  context: DistributionContext,
): Transition {
  const { candidate } = state.versions;
  return candidate?.stage === CandidateStage.Preparing &&
      isSameVersion(candidate.compiled.set.version, version)
    ? applyCandidate(state, candidate, context)
    : createTransition(state);
}
