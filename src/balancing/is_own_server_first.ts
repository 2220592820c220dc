import { isCold } from "../gate/is_cold.ts";
import type { GateState } from "../gate/gate_state.ts";
import { canStartAtOnce } from "./can_start_at_once.ts";
import type { GateCandidate } from "./gate_candidate.ts";
import { getSlowness } from "./get_slowness.ts";
import { isFailing } from "./is_failing.ts";
import { isSound } from "./is_sound.ts";

/** Up to this share of its slots, calls of this VM leave enough room for those of others. */
const roomyShare = 0.5;
/** How much busier than the service it may be; this keeps the load even. */
const excessShare = 0.2;
/** Leaves a little room for calls of others in any case. */
const shareMaximum = 0.9;
/** An answer that is expected within this share of the goal arrives in time although times vary. */
const safeGoalShare = 0.5;
/** Others are much faster than a backend server that is slower than this. */
const slownessMaximum = 1.5;

/**
 * Whether a call should go to the backend server of this VM without a look at
 * others. It must be able to start the call now, which its gate knows exactly. It
 * must not be much busier than the service, since other nodes need a part of it, and
 * not so slow that the goal is at risk.
 */
export function isOwnServerFirst(
  candidate: GateCandidate,
  options: {
    readonly gate: GateState;
    readonly meanAnswerMilliseconds: number;
    readonly goalMilliseconds: number;
    readonly now: number;
  },
): boolean {
  const { gate, now, meanAnswerMilliseconds, goalMilliseconds } = options;
  const { view } = candidate;
  if (!isSound(candidate, now) || isCold(gate, now)) return false;
  // Its slots are often free just because it fails calls.
  if (isFailing(view, now)) return false;
  const share = Math.min(
    shareMaximum,
    Math.max(roomyShare, view.serviceLoad.busyShare + excessShare),
  );
  const runningMaximum = Math.max(1, gate.slots * share);
  if (gate.running.size >= runningMaximum) return false;
  const slowness = getSlowness(view, now);
  const isAtRisk = slowness > slownessMaximum &&
    slowness * meanAnswerMilliseconds > goalMilliseconds * safeGoalShare;
  return !isAtRisk && canStartAtOnce(gate, now);
}
