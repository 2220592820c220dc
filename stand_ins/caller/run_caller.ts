import { Pool } from "undici";
import { createSeededRandom } from "../common/create_seeded_random.ts";
import { CallEnding } from "./call_ending.ts";
import type { CallRecord } from "./call_record.ts";
import type { CallerReport } from "./caller_report.ts";
import type { CallerSettings } from "./caller_settings.ts";
import { createCallerReport } from "./create_caller_report.ts";
import { drawBetween } from "./draw_between.ts";
import { planFirstCall } from "./plan_first_call.ts";
import { planNextCall } from "./plan_next_call.ts";
import type { PlannedCall } from "./planned_call.ts";
import { sendCall } from "./send_call.ts";

const connectionsPerNode = 256;
const millisecondsPerSecond = 1000;

/**
 * Sends calls at the instants that the seed gives, whether or not earlier ones
 * are answered, until the time or count of the settings is up or `isStopped`
 * says so; resolves once each has ended.
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
  const running = new Set<Promise<void>>();
  let planned = 0;
  let held = 0;

  const attempt = async (call: PlannedCall): Promise<void> => {
    const sentAt = Date.now();
    const result = await sendCall(call, {
      dispatcher: pools[call.node]!,
      deadlineMilliseconds: settings.deadlineMilliseconds,
    });
    records.push({ call, result, sentAt });
    const { ending } = result;
    const next = planNextCall(call, { ending, settings, random });
    if (next !== undefined) {
      const pause = ending === CallEnding.Unreachable
        ? 0
        : drawBetween(random, settings.repeatMilliseconds);
      await wait(pause);
      await attempt(next);
    }
  };
  const launch = () => {
    planned += 1;
    const call = planFirstCall(settings, {
      random,
      now: Date.now(),
      token: `${settings.seed}-${planned}`,
    });
    if (running.size >= settings.runningMaximum) {
      held += 1;
      return;
    }
    const run = attempt(call).finally(() => running.delete(run));
    running.add(run);
  };
  const isOver = (due: number) =>
    due >= endsAt || planned >= settings.callsMaximum || isStopped();
  const launchDue = (due: number): number => {
    if (isOver(due) || due > Date.now()) {
      return due;
    }
    launch();
    const gap = -Math.log(1 - random.next()) / settings.callsPerSecond;
    return launchDue(due + gap * millisecondsPerSecond);
  };
  const launchAll = async (due: number): Promise<void> => {
    const next = launchDue(due);
    if (!isOver(next)) {
      await wait(Math.max(1, next - Date.now()));
      await launchAll(next);
    }
  };
  await launchAll(startedAt);
  await Promise.all(running);
  await Promise.all(pools.map((pool) => pool.destroy()));
  return createCallerReport(records, { settings, startedAt, held });
}

function wait(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
