import type { BackendServerProber } from "../../health/backend_server_prober.ts";
import type { DispatchResult } from "../dispatch_result.ts";
import type { FakeBackendServerCounts } from "./fake_backend_server_counts.ts";

/** A backend server in virtual time: slots, cold start, shedding, falling over, slow cancellation. */
export interface FakeBackendServer {
  readonly prober: BackendServerProber;
  /** Hands over a call; `finish` is called once, unless the call is cancelled before. */
  dispatch(
    callIdentifier: string,
    finish: (result: DispatchResult) => void,
  ): void;
  cancel(callIdentifier: string): void;
  /** Falls back into cold start and tells nobody. */
  relapse(): void;
  /** Changes how many calls it bears when warm, and tells nobody. */
  setSlots(slots: number): void;
  getCounts(): FakeBackendServerCounts;
}
