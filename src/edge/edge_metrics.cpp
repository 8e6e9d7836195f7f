#include "edge/edge_metrics.h"

namespace boragebridge {

static auto inWholeMilliseconds(Duration d) -> std::uint64_t {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(d).count());
}

auto setPacketMetrics(MetricRegistry &out, const Forwarder &forwarder,
                      const DatagramCounts &datagrams, const EdgeTotals &totals)
    -> void {
  for (std::size_t i = 0; i < static_cast<std::size_t>(EdgeReason::Count);
       ++i) {
    const auto why = static_cast<EdgeReason>(i);
    out.setTotal("edge_packets_" + std::string(toString(why)) + "_total",
                 "Packets by why they met their fate", forwarder.count(why));
  }
  out.setTotal("edge_ports_used_again_total",
               "Entries of flows whose caller uses the port for another flow",
               forwarder.reusedPorts());
  out.setTotal("edge_packets_malformed_total", "Datagrams that are no packet",
               totals.Malformed);
  out.setTotal("edge_packets_received_total", "Datagrams", datagrams.Received);
  out.setTotal("edge_packets_sent_total", "Datagrams", datagrams.Sent);
  out.setTotal("edge_packets_send_failed_total",
               "Datagrams that the kernel refused", datagrams.SendFailed);
}

auto setReadMetrics(MetricRegistry &out, const MirroredPlatform &platform,
                    const EdgeTotals &totals) -> void {
  out.setTotal("edge_store_calls_total", "Calls to the store",
               platform.storeCalls());
  out.setTotal("edge_store_polls_total",
               "Calls that only check on watches and on the store",
               totals.Polls);
  out.setTotal("edge_store_snapshots_total",
               "Lists of the store that may be out of date", totals.Snapshots);
  out.setTotal("edge_mirror_calls_total", "Calls to other instances' mirrors",
               platform.parentCalls());
}

auto setViewMetrics(MetricRegistry &out, const EdgeViews &views,
                    const UpstreamDirectory &directory, TimePoint now) -> void {
  out.gauge("edge_configuration_version", "Version in force")
      .set(static_cast<double>(directory.configuration().Version));
  const auto &totals = views.configurationTotals();
  out.setTotal("edge_configuration_received_bytes_total",
               "Bodies of the configurations that were put into force",
               totals.ReceivedBytes);
  out.setTotal("edge_configuration_receive_milliseconds_total",
               "From the first byte of these bodies to the last",
               inWholeMilliseconds(totals.Receiving));
  out.setTotal("edge_configuration_read_milliseconds_total",
               "From these bodies to the routes in force",
               inWholeMilliseconds(totals.Reading));
  out.setTotal("edge_view_differences_total",
               "Views that were listed again because their objects were not "
               "those of the mirror",
               views.differences());
  out.setTotal("edge_view_confirmations_total",
               "Calls for changes that an open watch may have lost",
               views.confirmations());
  out.setTotal("edge_watch_answers_lost_total",
               "Calls of edge_view_confirmations_total that found changes",
               views.lostAnswers());
  out.gauge("edge_upstreams", "Registered upstreams")
      .set(static_cast<double>(directory.size()));
  out.gauge("edge_upstreams_unconfigured",
            "Records of services that are not configured")
      .set(static_cast<double>(directory.unconfiguredRecords()));
  out.gauge("edge_view_age_seconds", "Age of the oldest view of the store")
      .set(std::chrono::duration<double>(views.age(now)).count());
}

} // namespace boragebridge
