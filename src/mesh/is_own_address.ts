import type { NetworkAddress } from "../runtime/network_address.ts";
import type { MeshSettings } from "./mesh_settings.ts";

/** Whether the address is that of the backend server of this VM. */
export function isOwnAddress(
  { backendServer }: Pick<MeshSettings, "backendServer">,
  address: NetworkAddress,
): boolean {
  return address.host === backendServer.host &&
    address.port === backendServer.port;
}
