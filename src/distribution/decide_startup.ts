import { NodeState } from "../peers/node_state.ts";
import type { KnownPeer } from "../peers/known_peer.ts";
import { formatAddress } from "../runtime/format_address.ts";
import type { DistributionContext } from "./distribution_context.ts";
import type { DistributionState } from "./distribution_state.ts";
import { StartupAnswer } from "./startup_answer.ts";

/** Answers that a node waits for while it may still get them. */
const wantedAnswers = 3;

/**
 * Ends the question of a starting node once it may put a first version in
 * force: a peer that holds a version has answered and no further answer is
 * awaited, or most peers hold none, which is the first start of a fleet, or
 * there is no other node. Until then the platform's value is not enough, since
 * it may be older than what this node had in force before it restarted.
 */
export function decideStartup(
  state: DistributionState,
  { now }: DistributionContext,
): DistributionState {
  const { startup } = state;
  return !startup.decided &&
      (isAnswered(state, now) || isFirstStart(state) || isAlone(state))
    ? { ...state, startup: { ...startup, decided: true } }
    : state;
}

function isAnswered({ startup, peers }: DistributionState, now: number) {
  const answers = [...startup.answers.values()];
  const count = (answer: StartupAnswer) =>
    answers.filter((other) => other === answer).length;
  const answered = count(StartupAnswer.HoldsVersion) +
    count(StartupAnswer.HoldsNone);
  const hasEnough = count(StartupAnswer.Pending) === 0 &&
    answered >= Math.min(wantedAnswers, peers.known.size);
  return count(StartupAnswer.HoldsVersion) > 0 &&
    (hasEnough || now >= startup.settleAt);
}

function isFirstStart(state: DistributionState): boolean {
  const { startup, peers } = state;
  const known = [...peers.known.values()];
  const holdsNone = known.filter((peer) => isWithoutVersion(state, peer));
  return peers.listedVms !== undefined &&
    ![...startup.answers.values()].some((answer) =>
      answer === StartupAnswer.HoldsVersion || answer === StartupAnswer.Pending
    ) &&
    holdsNone.length * 2 > known.length;
}

/** A record that a third node passed on counts too, so that a large fleet need not ask everyone. */
function isWithoutVersion(
  { startup, peers }: DistributionState,
  peer: KnownPeer,
): boolean {
  const answer = startup.answers.get(formatAddress(peer.address));
  const record = peer.vm === undefined ? undefined : peers.records.get(peer.vm);
  return answer === StartupAnswer.HoldsNone ||
    (record?.state === NodeState.Starting && record.version === undefined);
}

function isAlone({ peers }: DistributionState): boolean {
  return peers.listedVms !== undefined && peers.known.size === 0;
}
