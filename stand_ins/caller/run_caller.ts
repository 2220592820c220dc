import { Pool } from "undici";
import { createSeededRandom } from "../common/create_seeded_random.ts";
import { CallEnding } from "./call_ending.ts";
import type { CallRecord } from "./call_record.ts";
import type { CallerReport } from "./caller_report.ts";
import type { CallerSettings } from "./caller_settings.ts";
import { createCallerReport } from "./create_caller_report.ts";
import { drawUniform } from "./draw_uniform.ts";
import { planFirstAttempt } from "./plan_first_attempt.ts";
import { planNextAttempt } from "./plan_next_attempt.ts";
import type { PlannedCall } from "./planned_call.ts";
import { sendCall } from "./send_call.ts";

const connectionsPerNode = 256;
const millisecondsPerSecond = 1000;

/**
 * Sends calls as an open-loop load: the seed determines when each is sent,
 * whether or not earlier ones are answered. Sends no further calls after the
 * duration or the number of calls in the settings, or once `isStopped` returns
 * true. Resolves when every call has ended.
 */
export async function runCaller(
  settings: CallerSettings,
  isStopped: () => boolean,
): Promise<CallerReport> {
  const random = createSeededRandom(settings.seed);
  const pools = settings.nodes.map((node) =>
    new Pool(`http://${node}`, {
      connections: connectionsPerNode,
      headersTimeout: settings.deadlineMilliseconds * 4,
      bodyTimeout: settings.deadlineMilliseconds * 4,
    })
  );
  const startedAt = Date.now();
  const endsAt = startedAt + settings.durationMilliseconds;
  const records: CallRecord[] = [];
  const runningCalls = new Set<Promise<void>>();
  let plannedCount = 0;
  let held = 0;

  const sendAttempts = async (call: PlannedCall): Promise<void> => {
    const sentAt = Date.now();
    const result = await sendCall(call, {
      dispatcher: pools[call.node]!,
      deadlineMilliseconds: settings.deadlineMilliseconds,
    });
    records.push({ call, result, sentAt });
    const { ending } = result;
    const nextAttempt = planNextAttempt(call, { ending, settings, random });
    if (nextAttempt !== undefined) {
      const delayMilliseconds = ending === CallEnding.Unreachable
        ? 0
        : drawUniform(random, settings.repeatMilliseconds);
      await delay(delayMilliseconds);
      await sendAttempts(nextAttempt);
    }
  };
  const startCall = () => {
    plannedCount += 1;
    const call = planFirstAttempt(settings, {
      random,
      now: Date.now(),
      token: `${settings.seed}-${plannedCount}`,
    });
    if (runningCalls.size >= settings.runningMaximum) {
      held += 1;
      return;
    }
    const runningCall = sendAttempts(call).finally(() =>
      runningCalls.delete(runningCall)
    );
    runningCalls.add(runningCall);
  };
  const isFinished = (dueAt: number) =>
    dueAt >= endsAt || plannedCount >= settings.callsMaximum || isStopped();
  const startDueCalls = (dueAt: number): number => {
    if (isFinished(dueAt) || dueAt > Date.now()) {
      return dueAt;
    }
    startCall();
    const intervalSeconds = -Math.log(1 - random.next()) /
      settings.callsPerSecond;
    return startDueCalls(dueAt + intervalSeconds * millisecondsPerSecond);
  };
  const startAllCalls = async (dueAt: number): Promise<void> => {
    const nextDueAt = startDueCalls(dueAt);
    if (!isFinished(nextDueAt)) {
      await delay(Math.max(1, nextDueAt - Date.now()));
      await startAllCalls(nextDueAt);
    }
  };
  await startAllCalls(startedAt);
  await Promise.all(runningCalls);
  await Promise.all(pools.map((pool) => pool.destroy()));
  return createCallerReport(records, { settings, startedAt, held });
}

function delay(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
