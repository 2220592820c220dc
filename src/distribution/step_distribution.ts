import { match } from "ts-pattern";
import { isSameVersion } from "../configuration/is_same_version.ts";
import type { OwnState } from "../peers/own_state.ts";
import { advanceCandidate } from "./advance_candidate.ts";
import { answerRequest } from "./answer_request.ts";
import { applyCandidate } from "./apply_candidate.ts";
import { askConfirmation } from "./ask_confirmation.ts";
import { CandidateStage } from "./candidate_stage.ts";
import { chainSteps } from "./chain_steps.ts";
import { decideStartup } from "./decide_startup.ts";
import type { DistributionContext } from "./distribution_context.ts";
import type { DistributionEvent } from "./distribution_event.ts";
import { DistributionEventKind } from "./distribution_event_kind.ts";
import type { DistributionState } from "./distribution_state.ts";
import { noteRecordChange } from "./note_record_change.ts";
import { notePlatformConfirmation } from "./note_platform_confirmation.ts";
import { pushNews } from "./push_news.ts";
import { runDueWork } from "./run_due_work.ts";
import { settleConfirmation } from "./settle_confirmation.ts";
import { startPull } from "./start_pull.ts";
import { stay } from "./stay.ts";
import { takeCallAnswer } from "./take_call_answer.ts";
import { takeCallFailure } from "./take_call_failure.ts";
import { takePlatformAnswer } from "./take_platform_answer.ts";
import { takePlatformFailure } from "./take_platform_failure.ts";
import { takeVmList } from "./take_vm_list.ts";
import type { Transition } from "./transition.ts";
import type { Version } from "../configuration/version.ts";

/**
 * Decides how the distribution of a node reacts to one event. Pure but for the
 * random numbers that it draws: the same state, event, instant and numbers
 * give the same state and effects.
 */
export function stepDistribution(
  state: DistributionState,
  event: DistributionEvent,
  context: DistributionContext,
): Transition {
  return chainSteps(state, [
    (current) => takeEvent(current, event, context),
    (current) => stay(decideStartup(current, context)),
    (current) => startPull(current, context),
    (current) => advanceCandidate(current, context),
    (current) => settleConfirmation(current, context),
  ]);
}

function takeEvent(
  state: DistributionState,
  event: DistributionEvent,
  context: DistributionContext,
): Transition {
  return match(event)
    .with(
      { kind: DistributionEventKind.Started },
      { kind: DistributionEventKind.DeadlineReached },
      () => runDueWork(state, context),
    )
    .with(
      { kind: DistributionEventKind.OwnStateChanged },
      ({ ownState }) => takeOwnState(state, ownState, context),
    )
    .with(
      { kind: DistributionEventKind.RequestReceived },
      ({ request, requestIdentifier }) =>
        answerRequest(state, request, { requestIdentifier, context }),
    )
    .with(
      { kind: DistributionEventKind.CallAnswered },
      ({ call, answer }) => takeCallAnswer(state, call, { answer, context }),
    )
    .with(
      { kind: DistributionEventKind.CallFailed },
      ({ call }) => takeCallFailure(state, call, context),
    )
    .with(
      { kind: DistributionEventKind.PlatformAnswered },
      (answer) => takePlatformAnswer(state, answer, context),
    )
    .with(
      { kind: DistributionEventKind.PlatformFailed },
      ({ reason, forConfirmation }) =>
        forConfirmation
          ? stay(
            notePlatformConfirmation(state, { isAnswered: false }, context),
          )
          : takePlatformFailure(state, reason, context),
    )
    .with(
      { kind: DistributionEventKind.VmsListed },
      ({ vms }) => stay(takeVmList(state, vms, context)),
    )
    .with(
      { kind: DistributionEventKind.VmListFailed },
      () => stay(takeVmList(state, undefined, context)),
    )
    .with(
      { kind: DistributionEventKind.SnapshotPrepared },
      ({ version }) => takePrepared(state, version, context),
    )
    .with(
      { kind: DistributionEventKind.ViewConfirmationRequested },
      () => askConfirmation(state, context),
    )
    .with(
      { kind: DistributionEventKind.StopRequested },
      () => pushNews({ ...state, stopping: true }, context),
    )
    .exhaustive();
}

/** A node that begins to drain, or whose backend server fails, tells some peers at once. */
function takeOwnState(
  state: DistributionState,
  ownState: OwnState,
  context: DistributionContext,
): Transition {
  const noted = noteRecordChange(state, ownState, context);
  return noted.peers.own.sequence === state.peers.own.sequence
    ? stay(noted)
    : pushNews(noted, context);
}

function takePrepared(
  state: DistributionState,
  version: Version,
  context: DistributionContext,
): Transition {
  const { candidate } = state.versions;
  return candidate?.stage === CandidateStage.Preparing &&
      isSameVersion(candidate.compiled.set.version, version)
    ? applyCandidate(state, candidate, context)
    : stay(state);
}
