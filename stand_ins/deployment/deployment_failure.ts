/** A step of a deployment that failed. */
export class DeploymentFailure extends Error {
  override readonly name = "DeploymentFailure";
}
