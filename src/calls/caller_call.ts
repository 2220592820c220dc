import type { Route } from "../configuration/route.ts";
import type { Service } from "../configuration/service.ts";
import type { Snapshot } from "../configuration/snapshot.ts";
import type { CallKey } from "./call_key.ts";

/** A caller's request after its headers were checked and its route was found. */
export interface CallerCall {
  readonly snapshot: Snapshot;
  readonly route: Route;
  readonly service: Service;
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  /** Names and values in turn, without headers of one hop and of the mesh. */
  readonly headers: readonly string[];
  /** In milliseconds since the Unix epoch. */
  readonly deadline: number;
  readonly idempotent: boolean;
  /** Of a call that is not idempotent; undefined where the caller gave none. */
  readonly key: CallKey | undefined;
}
