/** Returns the name under which a manifest lists the part of a service. */
export function getServicePartName(service: string): string {
  return `service/${service}`;
}
