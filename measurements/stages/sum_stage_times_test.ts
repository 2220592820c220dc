import test from "ava";
import { CallStage } from "./call_stage.ts";
import { createModuleFinder } from "./create_module_finder.ts";
import { getCallStage } from "./get_call_stage.ts";
import { sumStageTimes } from "./sum_stage_times.ts";

const bundle = [
  "var start;",
  "// src/mesh/offer_to_node.ts",
  "function offerToNode() {}",
  "  // node_modules/pino/lib/proto.js",
  "function write() {}",
].join("\n");

const createFrame = (functionName: string, url = "", lineNumber = 0) => ({
  functionName,
  url,
  lineNumber,
});

test("the module of a line is the one that the last comment names", (t) => {
  const getModule = createModuleFinder(bundle);
  t.is(getModule(0), undefined);
  t.is(getModule(2), "src/mesh/offer_to_node.ts");
  t.is(getModule(4), "node_modules/pino/lib/proto.js");
});

test("runtime, garbage collection and native code are stages of their own", (t) => {
  const url = "node:_http_outgoing";
  t.is(getCallStage(createFrame("end", url), url), CallStage.Http);
  t.is(
    getCallStage(createFrame("(garbage collector)"), ""),
    CallStage.GarbageCollection,
  );
  t.is(getCallStage(createFrame("writev"), ""), CallStage.Native);
  t.is(getCallStage(createFrame("(idle)"), ""), undefined);
});

test("a sample counts until the next one, at most for a millisecond, and only within the span", (t) => {
  const times = sumStageTimes({
    nodes: [
      { id: 1, callFrame: createFrame("offerToNode", "/x/node.cjs", 2) },
      { id: 2, callFrame: createFrame("write", "/x/node.cjs", 4) },
      { id: 3, callFrame: createFrame("(idle)") },
    ],
    startTime: 1_000,
    samples: [1, 1, 2, 3, 1],
    timeDeltas: [0, 100, 200, 5_000, 400],
  }, {
    getModule: createModuleFinder(bundle),
    bundleName: "node.cjs",
    from: 1_050,
    to: 6_400,
  });
  t.deepEqual(
    [...times],
    [[CallStage.Offer, 200], [CallStage.Observers, 1_000]],
  );
});
