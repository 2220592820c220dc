import test from "ava";
import { chooseByOldReports } from "../testing/balancing/choose_by_old_reports.ts";
import { chooseBySample } from "../testing/balancing/choose_by_sample.ts";
import { chooseWithAllKnown } from "../testing/balancing/choose_with_all_known.ts";
import { runChoiceModel } from "../testing/balancing/run_choice_model.ts";
import { drawCandidate } from "./draw_candidate.ts";

const seed = 11;
/** The stated target: a half of what the choice of the cheapest of all brings. */
const targetShare = 0.5;

const old = runChoiceModel(chooseByOldReports, { seed });
const sampled = runChoiceModel(chooseBySample, { seed });

test("60 uneven backend servers, reports 50 to 400 ms old, 60 nodes that choose at once: slots are used at least twice as evenly as with the cheapest of all", (t) => {
  t.log({ old, sampled });
  t.true(sampled.useDeviation <= old.useDeviation * targetShare);
});

test("60 uneven backend servers, reports 50 to 400 ms old, 60 nodes that choose at once: the 99th percentile of the wait is at most half of that with the cheapest of all", (t) => {
  const known = runChoiceModel(chooseWithAllKnown, { seed });
  const random = runChoiceModel(
    ({ candidates, context, isUsable }) =>
      drawCandidate(candidates.all.filter(isUsable), {
        ...candidates,
        ...context,
      })?.entry.identifier,
    { seed },
  );
  t.log({ random, known });
  t.true(
    sampled.waitPercentile99Milliseconds <=
      old.waitPercentile99Milliseconds * targetShare,
  );
});
