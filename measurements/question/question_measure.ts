import { Pool } from "undici";
import type { Deployment } from "../../stand_ins/deployment/deployment.ts";
import type { DeploymentVm } from "../../stand_ins/deployment/deployment_vm.ts";
import { loopback } from "../../stand_ins/deployment/loopback.ts";
import { costPlan } from "../cost/cost_plan.ts";
import { measureProcessorTime } from "../fleet/measure_processor_time.ts";
import { readNodeStatus } from "../fleet/read_node_status.ts";
import { withDeployment } from "../fleet/with_deployment.ts";
import { formatSpread } from "../format_spread.ts";
import type { MeasureContext } from "../measure_context.ts";
import type { MeasureResult } from "../measure_result.ts";
import type { Measure } from "../measure.ts";
import { runSequentially } from "../run_sequentially.ts";
import { wait } from "../wait.ts";
import { queryKeyOutcome } from "./query_key_outcome.ts";
import type { QuestionSample } from "./question_sample.ts";

const queryCount = 4000;
const quickQueryCount = 200;
const settleMilliseconds = 1000;

/** Measures what a node spends on outcome queries for its keys. */
export const questionMeasure: Measure = {
  name: "question",
  title: "Questions about keys",
  question:
    "How much processor time and how many bytes does it cost a node to answer one question of an owner about a key that it may have run? Such questions come to the nodes of an availability zone that was taken out, for the lifetime of the keys.",
  baseline:
    "The same questions on connections that are kept; nodes use a connection of its own for each, since one that has gone silent must not swallow it.",
  spread: "Median of the repeats and in brackets the lowest and the highest.",
  run,
};

async function run(context: MeasureContext): Promise<MeasureResult> {
  const samples = await withDeployment(
    costPlan,
    { backendServer: { startsCold: false } },
    async (deployment) => {
      await wait(settleMilliseconds);
      const rounds = Array.from(
        { length: context.repeats },
        () => [false, true],
      )
        .flat();
      return await runSequentially(rounds, (freshConnection, round) => {
        context.reportProgress(`round ${round + 1} of ${rounds.length}`);
        return measureQueries(deployment, {
          freshConnection,
          round,
          count: context.quick ? quickQueryCount : queryCount,
        });
      });
    },
  );
  return createResult(samples);
}

async function measureQueries(
  deployment: Deployment,
  options: {
    readonly freshConnection: boolean;
    readonly round: number;
    readonly count: number;
  },
): Promise<QuestionSample> {
  const { freshConnection, round, count } = options;
  const [queriedVm, by] = deployment.vms as [DeploymentVm, DeploymentVm];
  const pool = new Pool(`http://${loopback}:${queriedVm.nodesPort}`);
  let sent = 0;
  const before = await readControlBytes(queriedVm);
  const startedAt = Date.now();
  const time = await measureProcessorTime([deployment.getNode(queriedVm)], {
    count,
    send: () => {
      sent += 1;
      return queryKeyOutcome(queriedVm, {
        key: `order-${round}-${sent}`,
        by,
        connection: freshConnection ? undefined : pool,
      });
    },
  });
  const durationMilliseconds = Date.now() - startedAt;
  const after = await readControlBytes(queriedVm);
  await wait(durationMilliseconds);
  const atRest = await readControlBytes(queriedVm) - after;
  await pool.destroy();
  return {
    freshConnection,
    ...time,
    bytes: (after - before - atRest) / time.sent,
  };
}

async function readControlBytes(vm: DeploymentVm): Promise<number> {
  const status = await readNodeStatus(vm);
  return (status?.distribution.controlBytesSent ?? 0) +
    (status?.distribution.controlBytesReceived ?? 0);
}

function createResult(samples: readonly QuestionSample[]): MeasureResult {
  const select = (
    freshConnection: boolean,
    getValue: (sample: QuestionSample) => number,
  ) =>
    formatSpread(
      samples
        .filter((sample) => sample.freshConnection === freshConnection)
        .map(getValue),
    );
  return {
    tables: [{
      title: "One question, at the node that answers",
      columns: [
        "connection",
        "milliseconds of processor time",
        "bytes, both directions",
        "questions a second meanwhile",
      ],
      rows: [true, false].map((freshConnection) => [
        freshConnection ? "one for each question" : "kept (baseline)",
        select(freshConnection, (sample) => sample.milliseconds),
        select(freshConnection, (sample) => sample.bytes),
        select(freshConnection, (sample) => sample.requestsPerSecond),
      ]),
    }],
    charts: [],
    targets: [],
    notes: [
      "Each question names a key that the node has not seen, so that it fences the key.",
      "The traffic of the node at rest, over the same span, is subtracted.",
    ],
    data: { samples },
  };
}
