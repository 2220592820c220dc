import type { CallEvent } from "../../mesh/call_event.ts";
import type { MeshDaemon } from "../../mesh/mesh_daemon.ts";
import type { MeshSettings } from "../../mesh/mesh_settings.ts";
import type { RegisterEntry } from "../../register/register_entry.ts";
import type { MeshResponse } from "./mesh_response.ts";
import type { MeshBackend } from "./mesh_backend.ts";
import type { MeshCall } from "./mesh_call.ts";
import type { SourceFake } from "./source_fake.ts";

/** Nodes with a backend server each, on hosts of the loopback interface. */
export interface MeshFleet {
  readonly source: SourceFake;
  readonly backends: readonly MeshBackend[];
  readonly settings: readonly MeshSettings[];
  readonly daemons: MeshDaemon[];
  /** Decisions on calls that the nodes reported. */
  readonly events: CallEvent[];
  /** Publishes changed fields of the entry of a backend server. */
  publishServer(index: number, change: Partial<RegisterEntry>): void;
  /** Sends a call through the node of a VM. */
  call(index: number, call?: MeshCall): Promise<MeshResponse>;
  /** Stops a node and starts it again with an empty memory. */
  restart(index: number): Promise<void>;
  /** Asks a node whether it is ready; returns the status. */
  askReadiness(index: number): Promise<number>;
  close(): Promise<void>;
}
