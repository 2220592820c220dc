import { Pool } from "undici";
import type { Deployment } from "../../stand_ins/deployment/deployment.ts";
import type { DeploymentVm } from "../../stand_ins/deployment/deployment_vm.ts";
import { loopback } from "../../stand_ins/deployment/loopback.ts";
import { costPlan } from "../cost/cost_plan.ts";
import { measureProcessorTime } from "../fleet/measure_processor_time.ts";
import { readNodeReport } from "../fleet/read_node_report.ts";
import { withDeployment } from "../fleet/with_deployment.ts";
import { formatSpread } from "../format_spread.ts";
import type { MeasureContext } from "../measure_context.ts";
import type { MeasureResult } from "../measure_result.ts";
import type { Measure } from "../measure.ts";
import { runInTurn } from "../run_in_turn.ts";
import { wait } from "../wait.ts";
import { askAboutKey } from "./ask_about_key.ts";
import type { QuestionSample } from "./question_sample.ts";

const questions = 4000;
const quickQuestions = 200;
const settleMilliseconds = 1000;

/** What it costs a node to answer for its keys. */
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
      return await runInTurn(rounds, (freshConnection, round) => {
        context.progress(`round ${round + 1} of ${rounds.length}`);
        return takeSample(deployment, {
          freshConnection,
          round,
          count: context.quick ? quickQuestions : questions,
        });
      });
    },
  );
  return createResult(samples);
}

async function takeSample(
  deployment: Deployment,
  options: {
    readonly freshConnection: boolean;
    readonly round: number;
    readonly count: number;
  },
): Promise<QuestionSample> {
  const { freshConnection, round, count } = options;
  const [asked, by] = deployment.vms as [DeploymentVm, DeploymentVm];
  const pool = new Pool(`http://${loopback}:${asked.nodesPort}`);
  let sent = 0;
  const before = await readBytes(asked);
  const startedAt = Date.now();
  const time = await measureProcessorTime([deployment.getNode(asked)], {
    count,
    send: () => {
      sent += 1;
      return askAboutKey(asked, {
        key: `order-${round}-${sent}`,
        by,
        connection: freshConnection ? undefined : pool,
      });
    },
  });
  const span = Date.now() - startedAt;
  const after = await readBytes(asked);
  await wait(span);
  const atRest = await readBytes(asked) - after;
  await pool.destroy();
  return {
    freshConnection,
    ...time,
    bytes: (after - before - atRest) / time.sent,
  };
}

async function readBytes(vm: DeploymentVm): Promise<number> {
  const report = await readNodeReport(vm);
  return (report?.distribution.controlBytesSent ?? 0) +
    (report?.distribution.controlBytesReceived ?? 0);
}

function createResult(samples: readonly QuestionSample[]): MeasureResult {
  const select = (
    freshConnection: boolean,
    read: (sample: QuestionSample) => number,
  ) =>
    formatSpread(
      samples
        .filter((sample) => sample.freshConnection === freshConnection)
        .map(read),
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
      rows: [true, false].map((fresh) => [
        fresh ? "one for each question" : "kept (baseline)",
        select(fresh, (sample) => sample.milliseconds),
        select(fresh, (sample) => sample.bytes),
        select(fresh, (sample) => sample.requestsPerSecond),
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
