import test from "ava";
import { exploreChoices } from "../testing/explore_choices.ts";
import { runRefusalModel } from "../testing/refusals/run_refusal_model.ts";
import { promisesNotRun } from "./promises_not_run.ts";

const interruptionsMaximum = 4;

// Guards against a refusal as not run of a call that ran or runs later, in every
// order of attempts, repeats, late copies of answers, restarts, cancellations and
// withdrawals.
test("in all interleavings, a call that is refused as not run has not run and never runs, and no call runs twice", (t) => {
  const broken: string[] = [];
  let refusals = 0;
  let answers = 0;
  const runs = exploreChoices((choose) => {
    const result = runRefusalModel(choose, { interruptionsMaximum });
    const isRefused = promisesNotRun(result.status ?? 0);
    if (isRefused) refusals += 1;
    if (result.status === 200) answers += 1;
    const isBroken = result.status === undefined || result.runs > 1 ||
      (isRefused && result.runs > 0);
    if (isBroken) {
      broken.push(
        `${result.status} ${result.runs}: ${result.steps.join(", ")}`,
      );
    }
  });
  t.log({ runs, refusals, answers });
  t.true(refusals > 0);
  t.true(answers > 0);
  t.deepEqual(broken.slice(0, 3), []);
});
