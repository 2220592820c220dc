import type { CostFigures } from "../cost/cost_figures.ts";
import type { ProcessorCost } from "../cost/processor_cost.ts";
import type { FleetRun } from "../fleet/fleet_run.ts";
import type { QuestionSample } from "../question/question_sample.ts";
import type { LedgerSample } from "../ledger/ledger_sample.ts";

/** The recorded figures that the capacity page uses; undefined for a measure without a result file. */
export interface CapacityFigures {
  readonly fleet: { readonly runs: readonly FleetRun[] } | undefined;
  readonly compile: {
    readonly sizes: readonly {
      readonly backendServers: number;
      readonly phases: readonly {
        readonly phase: string;
        readonly median: number;
      }[];
    }[];
    readonly bytes: readonly {
      readonly backendServers: number;
      readonly document: number;
      readonly manifest: number;
      readonly largestServicePart: number;
    }[];
    readonly retained: readonly {
      readonly backendServers: number;
      readonly bytes: number;
    }[];
  } | undefined;
  readonly peers: {
    readonly sizes: readonly {
      readonly peers: number;
      readonly figures: readonly {
        readonly figure: string;
        readonly median: number;
      }[];
    }[];
  } | undefined;
  readonly cost: {
    readonly figures: readonly CostFigures[];
    readonly processorCosts: readonly ProcessorCost[];
  } | undefined;
  readonly question:
    | { readonly samples: readonly QuestionSample[] }
    | undefined;
  readonly ledger: { readonly samples: readonly LedgerSample[] } | undefined;
}
