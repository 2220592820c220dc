import type { GateCandidate } from "../../balancing/gate_candidate.ts";
import type { RankingContext } from "../../balancing/ranking_context.ts";
import type { ServiceCandidates } from "../../balancing/service_candidates.ts";
import type { ModelledServer } from "./modelled_server.ts";

/** A rule by which a node of the model chooses the backend server for a call. Returns its
 * identifier; undefined if none is usable. */
export type ChoiceRule = (
  options: {
    readonly candidates: ServiceCandidates;
    readonly context: RankingContext;
    /** Whether a gate is not known to be full. */
    readonly isUsable: (candidate: GateCandidate) => boolean;
    /** The backend server beside the node. */
    readonly own: ModelledServer;
    /** The true state, for a rule that knows all. */
    readonly servers: readonly ModelledServer[];
  },
) => string | undefined;
