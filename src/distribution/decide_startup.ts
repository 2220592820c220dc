import { getDistinctPeers } from "../peers/get_distinct_peers.ts";
import { NodeState } from "../peers/node_state.ts";
import type { KnownPeer } from "../peers/known_peer.ts";
import { formatAddress } from "../runtime/format_address.ts";
import type { DistributionContext } from "./distribution_context.ts";
import { distributionLimits } from "./distribution_limits.ts";
import type { DistributionState } from "./distribution_state.ts";
import { StartupAnswer } from "./startup_answer.ts";

/** A peer is asked so often before its silence counts, since it may hold the only version. */
const failuresOfLostPeer = 3;

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

function isAnswered(state: DistributionState, now: number): boolean {
  const { startup } = state;
  return [...startup.answers.values()].includes(StartupAnswer.HoldsVersion) &&
    (hasAllAnswers(state) || now >= startup.settleAt);
}

function isFirstStart(state: DistributionState): boolean {
  const { startup, peers } = state;
  const known = getDistinctPeers(peers.known.values());
  const holdsNone = known.filter((peer) => isWithoutVersion(state, peer));
  const isSettled = ({ address, failures }: KnownPeer) =>
    startup.answers.get(formatAddress(address)) !== StartupAnswer.Failed ||
    failures >= failuresOfLostPeer;
  return peers.listedVms !== undefined && hasAllAnswers(state) &&
    ![...startup.answers.values()].includes(StartupAnswer.HoldsVersion) &&
    known.every(isSettled) && holdsNone.length * 2 > known.length;
}

/**
 * Whether enough peers were asked and each has answered or failed. The version
 * that this node had in force may have reached only some of them before the
 * node ended, and in a herd most may have just started.
 */
function hasAllAnswers({ startup, peers }: DistributionState): boolean {
  const answers = [...startup.answers.values()];
  const wanted = Math.min(
    distributionLimits.startupOwnZone + distributionLimits.startupOtherZones,
    peers.known.size,
  );
  return !answers.includes(StartupAnswer.Pending) &&
    answers.length >= wanted &&
    (startup.learntPeers || peers.listedVms !== undefined);
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
