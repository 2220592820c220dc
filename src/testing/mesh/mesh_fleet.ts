import type { CallEvent } from "../../mesh/call_event.ts";
import type { MeshDaemon } from "../../mesh/mesh_daemon.ts";
import type { MeshSettings } from "../../mesh/mesh_settings.ts";
import type { RegisterEntry } from "../../register/register_entry.ts";
import type { MeshResponse } from "./mesh_response.ts";
import type { MeshBackend } from "./mesh_backend.ts";
import type { MeshCall } from "./mesh_call.ts";
import type { SourceFake } from "./source_fake.ts";

/** Nodes with a backend server each; every VM has its own IP address of the loopback interface. */
export interface MeshFleet {
  readonly source: SourceFake;
  readonly backends: readonly MeshBackend[];
  readonly settings: readonly MeshSettings[];
  readonly daemons: MeshDaemon[];
  /** Call events that the nodes reported, in order. */
  readonly events: CallEvent[];
  /** Everything that the nodes reported, call events included, as JSON. */
  readonly reports: string[];
  /** Publishes the register entry of a backend server with changed fields and the next sequence number. */
  publishServer(index: number, change: Partial<RegisterEntry>): void;
  /** Sends a call to the callers' listener of a node. */
  call(index: number, call?: MeshCall): Promise<MeshResponse>;
  /** Stops a node and starts a new one with the same settings and no earlier state. */
  restart(index: number): Promise<void>;
  /** Requests the readiness of a node; returns the status of the response, 0 without one. */
  fetchReadinessStatus(index: number): Promise<number>;
  close(): Promise<void>;
}
