/** A step of a deployment that failed. */
export class DeploymentError extends Error {
  override readonly name = "DeploymentError";
}
