import { admissionMeasure } from "./admission_measure.ts";
import { compileMeasure } from "./compile/compile_measure.ts";
import { costMeasure } from "./cost/cost_measure.ts";
import { convergenceMeasure } from "./convergence/convergence_measure.ts";
import { controlMeasure } from "./fleet/control_measure.ts";
import { fleetMeasure } from "./fleet/fleet_measure.ts";
import { peersMeasure } from "./peers/peers_measure.ts";
import { serviceMeasure } from "./service/service_measure.ts";
import { ledgerMeasure } from "./ledger/ledger_measure.ts";
import { questionMeasure } from "./question/question_measure.ts";
import type { Measure } from "./measure.ts";

/** All measures, in the order in which they run. */
export const measures: readonly Measure[] = [
  compileMeasure,
  peersMeasure,
  ledgerMeasure,
  admissionMeasure,
  costMeasure,
  questionMeasure,
  convergenceMeasure,
  serviceMeasure,
  controlMeasure,
  fleetMeasure,
];
