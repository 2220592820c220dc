import { CallEnding } from "./call_ending.ts";
import type { CallRecord } from "./call_record.ts";
import type { CallerBucket } from "./caller_bucket.ts";
import type { CallerReport } from "./caller_report.ts";
import type { CallerSettings } from "./caller_settings.ts";
import { countBy } from "./count_by.ts";
import { getQuantile } from "./get_quantile.ts";
import { groupItems } from "./group_items.ts";

const millisecondsPerSecond = 1000;
const notRunEndings: readonly CallEnding[] = [
  CallEnding.NotRun,
  CallEnding.Unreachable,
];

/** Returns the report on all attempts of a caller; each record describes one attempt. */
export function createCallerReport(
  records: readonly CallRecord[],
  options: {
    readonly settings: CallerSettings;
    readonly startedAt: number;
    /** Number of calls that were not sent because `runningMaximum` earlier ones were still running. */
    readonly held: number;
  },
): CallerReport {
  const { settings, startedAt, held } = options;
  const endings = countBy(records, (record) => record.result.ending);
  const cut = records.filter((record) =>
    record.result.ending === CallEnding.Cut
  );
  const getSecond = (record: CallRecord) =>
    Math.floor((record.sentAt - startedAt) / millisecondsPerSecond);
  const recordsByBucket = groupItems(
    records,
    (record) =>
      `${
        getSecond(record)
      } ${record.call.service.service} ${record.call.service.priority}`,
  );
  return {
    seed: settings.seed,
    startedAt,
    // Excludes unreachable attempts, unlike `sent` of a bucket.
    sent: records.length - (endings[CallEnding.Unreachable] ?? 0),
    whole: endings[CallEnding.Complete] ?? 0,
    notRun: endings[CallEnding.NotRun] ?? 0,
    unknown: endings[CallEnding.Unknown] ?? 0,
    unknownFirstAttempts:
      records.filter(({ call, result }) =>
        result.ending === CallEnding.Unknown && call.attemptNumber === 1
      ).length,
    abandoned: endings[CallEnding.Abandoned] ?? 0,
    wrong: endings[CallEnding.Wrong] ?? 0,
    cut: cut.length,
    unreachable: endings[CallEnding.Unreachable] ?? 0,
    held,
    reasons: countBy(
      records.filter((record) => record.result.reason !== ""),
      (record) => record.result.reason,
    ),
    cutByNode: countBy(
      cut,
      (record) => settings.nodes[record.call.node] ?? "",
    ),
    cutTokens: cut.map((record) => record.call.token),
    neverRunTokens: getNeverRunTokens(records),
    keys: [
      ...new Set(records.flatMap((record) => record.call.key ?? [])),
    ],
    buckets: [...recordsByBucket.values()].map((group) =>
      createBucket(group, getSecond)
    ),
    endings,
  };
}

/** Returns the tokens of the calls whose every attempt was refused as not run or was unreachable. */
function getNeverRunTokens(records: readonly CallRecord[]): readonly string[] {
  const recordsByToken = groupItems(records, (record) => record.call.token);
  return [...recordsByToken]
    .filter(([, group]) =>
      group.every((record) => notRunEndings.includes(record.result.ending))
    )
    .map(([token]) => token);
}

function createBucket(
  group: readonly CallRecord[],
  getSecond: (record: CallRecord) => number,
): CallerBucket {
  const [first] = group as [CallRecord];
  const latencies = group
    .filter((record) => record.result.ending === CallEnding.Complete)
    .map((record) => record.result.elapsedMilliseconds)
    .sort((left, right) => left - right);
  return {
    second: getSecond(first),
    service: first.call.service.service,
    priority: first.call.service.priority,
    // Includes unreachable attempts, unlike `sent` of the report.
    sent: group.length,
    endings: countBy(group, (record) => record.result.ending),
    medianMilliseconds: getQuantile(latencies, 0.5),
    percentile99Milliseconds: getQuantile(latencies, 0.99),
  };
}
